import {Flags} from '@oclif/core';
import {
  createLogger,
  exitProcess,
  type Logger,
  ProcessEnd,
  startLogOutput,
  toBanyanfoldError,
} from '@banyanfold/core';
import type {z} from 'zod';
import {EXIT_CODES} from './exitCodes.js';
import {BanyanfoldCommand} from './banyanfoldCommand.js';
import {loadSettings} from './settings.js';

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/** The common lifecycle of the daemons. */
export interface Daemon {
  start(): Promise<{port: number}>;
  drain(): Promise<unknown>;
  stop(): Promise<void>;
}

/** Runs a daemon until a stop signal, then drains and stops it. */
export abstract class DaemonCommand extends BanyanfoldCommand {
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
      problems => this.fail(problems, EXIT_CODES.badInput),
    );
  }

  protected async runDaemon(
    vmId: string,
    create: (logger: Logger) => Daemon,
  ): Promise<void> {
    startLogOutput();
    const logger = createLogger({vm: vmId, pid: process.pid});
    const daemon = create(logger);
    const {port} = await this.startOrFail(vmId, daemon);
    logger.info('listening', {port});
    const end = new ProcessEnd({
      logger,
      print: error =>
        process.stderr.write(`${vmId}: uncaught error: ${error}\n`),
      drain: () => daemon.drain(),
      stop: () => daemon.stop(),
      exit: exitProcess,
    });
    end.beginServing();
    process.on('uncaughtException', (thrown: unknown, origin) =>
      end.handleUncaught(thrown, origin),
    );
    const signal = await nextStopSignal();
    logger.info('stopping', {signal});
    end.handleSignal();
    const secondSignal = await nextStopSignal();
    logger.warn('stopping-at-once', {signal: secondSignal});
    await exitProcess(EXIT_CODES.failed);
  }

  private async startOrFail(
    vmId: string,
    daemon: Daemon,
  ): Promise<{port: number}> {
    try {
      return await daemon.start();
    } catch (thrown) {
      const context = {step: 'start', peer: 'self'};
      const error = toBanyanfoldError(thrown, 'start-failed', context);
      return this.fail(
        `${vmId} can't start: ${error.message} ` +
          `(step ${error.step}, peer ${error.peer})`,
        EXIT_CODES.failed,
      );
    }
  }
}

function nextStopSignal(): Promise<string> {
  return new Promise(resolve => {
    for (const signal of STOP_SIGNALS) {
      process.once(signal, () => resolve(signal));
    }
  });
}
