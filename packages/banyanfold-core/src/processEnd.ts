import type {Logger} from './logger.js';
import {summarizeError} from './summarizeError.js';

/** Exit codes of a process that served. */
const EXIT = {ok: 0, failed: 1} as const;
/** An error that recurs must not fill the log while requests finish. */
const MAX_LOGGED_ERRORS = 20;

export interface ProcessEndOptions {
  logger: Logger;
  /** Called with each uncaught error that is logged. */
  print(error: string): void;
  /** Finishes the open requests within the grace period. */
  drain(): Promise<unknown>;
  /** Ends what the process still does. */
  stop(): void | Promise<void>;
  /** Writes the log and exits. */
  exit(code: number): Promise<unknown>;
}

/**
 * Ends a process once: after a signal to stop, or after an error that nothing
 * handled. After such an error the state of the process is in doubt, but an
 * immediate exit would cut off all its requests.
 *
 * @example
 * process.on('SIGTERM', () => end.handleSignal());
 * process.on('uncaughtException', (thrown, origin) =>
 *   end.handleUncaught(thrown, origin),
 * );
 */
export class ProcessEnd {
  private isServing = false;
  private isEnding = false;
  private errors = 0;

  constructor(private readonly options: ProcessEndOptions) {}

  /** From now on the process has requests to finish. */
  beginServing(): void {
    this.isServing = true;
  }

  handleSignal(): void {
    if (this.isEnding) this.options.logger.info('stopping-already');
    this.end();
  }

  handleUncaught(thrown: unknown, origin: string): void {
    this.errors += 1;
    if (this.errors <= MAX_LOGGED_ERRORS) {
      const error = summarizeError(thrown);
      this.options.logger.error('uncaught-error', {origin, error});
      this.options.print(error);
    }
    this.end();
  }

  private end(): void {
    if (this.isEnding) return;
    this.isEnding = true;
    this.drainAndExit().catch((thrown: unknown) => {
      this.errors += 1;
      const error = summarizeError(thrown);
      this.options.logger.error('drain-failed', {error});
      return this.exit();
    });
  }

  private async drainAndExit(): Promise<void> {
    const {drain, stop, logger} = this.options;
    if (this.isServing || this.errors === 0) {
      await drain();
      await stop();
    }
    logger.info('stopped', {errors: this.errors || undefined});
    await this.exit();
  }

  private exit(): Promise<unknown> {
    return this.options.exit(this.errors > 0 ? EXIT.failed : EXIT.ok);
  }
}
