import {Command, Flags} from '@oclif/core';
import {createLogger, startLogOutput, type Logger} from '@banyanfold/core';
import type {z} from 'zod';
import {EXIT_CODES} from './exitCodes.js';
import {loadSettings} from './settings.js';

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/** What the daemons have in common once they are made. */
export interface Daemon {
  start(): Promise<{port: number}>;
  drain(): Promise<unknown>;
  stop(): Promise<void>;
}

/** Runs a daemon until a signal, then drains and stops it. */
export abstract class DaemonCommand extends Command {
  static override baseFlags = {
    settings: Flags.string({
      description: 'settings file, JSON with comments',
      required: true,
    }),
  };

  protected loadDaemonSettings<S extends z.ZodType>(
    path: string,
    schema: S,
  ): z.output<S> {
    return loadSettings(path, schema).match(
      settings => settings,
      problems => this.error(problems, {exit: EXIT_CODES.badInput}),
    );
  }

  protected async runDaemon(
    vmId: string,
    create: (logger: Logger) => Daemon,
  ): Promise<void> {
    startLogOutput();
    const logger = createLogger({vm: vmId, pid: process.pid});
    const daemon = create(logger);
    const {port} = await daemon.start();
    logger.info('listening', {port});
    const signal = await nextStopSignal();
    logger.info('stopping', {signal});
    await daemon.drain();
    await daemon.stop();
    logger.info('stopped');
    process.exit(EXIT_CODES.ok);
  }
}

function nextStopSignal(): Promise<string> {
  return new Promise(resolve => {
    for (const signal of STOP_SIGNALS) {
      process.once(signal, () => resolve(signal));
    }
  });
}
