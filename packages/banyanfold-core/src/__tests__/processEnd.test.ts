import {beforeEach, describe, expect, it} from 'vitest';
import {MemoryLogger} from '../logger.js';
import {ProcessEnd} from '../processEnd.js';

let steps: string[];
let logger: MemoryLogger;
let finishDrain: () => void;
let failDrain: (thrown: Error) => void;
let end: ProcessEnd;

beforeEach(() => {
  steps = [];
  logger = new MemoryLogger();
  end = new ProcessEnd({
    logger,
    print: () => steps.push('print'),
    drain: () => {
      steps.push('drain');
      return new Promise<void>((resolve, reject) => {
        finishDrain = resolve;
        failDrain = reject;
      });
    },
    stop: () => void steps.push('stop'),
    exit: async code => steps.push(`exit ${code}`),
  });
});

async function settle(): Promise<void> {
  await new Promise(resolve => setImmediate(resolve));
}

function events(): string[] {
  return logger.lines.map(line => /event=(\S+)/.exec(line)?.[1] ?? '');
}

describe('ProcessEnd', () => {
  it('exits with 0 after the drain of a signal, and once', async () => {
    end.beginServing();
    end.handleSignal();
    end.handleSignal();
    expect(steps).toEqual(['drain']);
    finishDrain();
    await settle();
    expect(steps).toEqual(['drain', 'stop', 'exit 0']);
    expect(events()).toEqual(['stopping-already', 'stopped']);
  });

  // Guards against an exit that cuts off all requests for one error.
  it('finishes the open requests after an uncaught error', async () => {
    end.beginServing();
    end.handleUncaught(new TypeError('Invalid URL'), 'unhandledRejection');
    expect(steps).toEqual(['print', 'drain']);
    expect(logger.lines[0]).toContain('origin=unhandledRejection');
    expect(logger.lines[0]).toContain('TypeError: Invalid URL');
    finishDrain();
    await settle();
    expect(steps).toEqual(['print', 'drain', 'stop', 'exit 1']);
  });

  it('exits with 1 if an error comes during a drain', async () => {
    end.beginServing();
    end.handleSignal();
    end.handleUncaught('text', 'uncaughtException');
    finishDrain();
    await settle();
    expect(steps.at(-1)).toBe('exit 1');
  });

  it('exits at once after an error of a process that serves nobody', async () => {
    end.handleUncaught(new Error('x'), 'uncaughtException');
    await settle();
    expect(steps).toEqual(['print', 'exit 1']);
  });

  // Guards against a process that stays for good because its drain fails.
  it('exits when the drain fails', async () => {
    end.beginServing();
    end.handleUncaught(new Error('x'), 'uncaughtException');
    failDrain(new Error('y'));
    await settle();
    expect(steps).toEqual(['print', 'drain', 'exit 1']);
  });

  // Guards against a log that an error fills which comes again and again.
  it('logs an error that recurs only some times', () => {
    end.beginServing();
    for (let i = 0; i < 1_000; i++) {
      end.handleUncaught(new Error('x'), 'uncaughtException');
    }
    expect(logger.lines.length).toBeLessThan(50);
  });
});
