import type {Logger} from './logger.js';
import {summarizeError} from './summarizeError.js';

/** Names work that nobody awaits, for the log. */
export interface BackgroundWork {
  logger: Logger;
  step: string;
  /** The runner, process or topic that it is about. */
  peer?: string;
}

/**
 * Starts work that nobody awaits. A failure is logged; unhandled, it would end
 * the process with all its requests.
 *
 * @example
 * runInBackground({logger, step: 'report', peer: runnerId}, () => poll(runnerId));
 */
export function runInBackground(
  {logger, step, peer}: BackgroundWork,
  work: () => Promise<unknown>,
): void {
  const report = (thrown: unknown) => {
    const error = summarizeError(thrown);
    logger.error('background-failed', {step, peer, error});
  };
  try {
    work().catch(report);
  } catch (thrown) {
    report(thrown);
  }
}
