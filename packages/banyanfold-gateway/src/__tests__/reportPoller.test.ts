import {MemoryLogger, VirtualClock, sleep} from '@banyanfold/core';
import {ok} from 'neverthrow';
import {describe, expect, it} from 'vitest';
import {DEFAULT_OPTIONS} from '../options.js';
import {REPORT_TICK_MS, ReportPoller} from '../placement/reportPoller.js';
import type {RunnerController} from '../placement/runnerController.js';
import type {RunnerControl, RunnerReport} from '../types.js';

const ANSWER_MS = 20;
const PROCESSOR_SHARE = 0.5;
/** Number of runners that are all queried at once. */
const MAX_AT_ONCE = 32;

/** Polls unknown runners, as a process does that has just gained the lease. */
function createSimulation(runners: number, {awaited = 0, throwsFor = ''} = {}) {
  const clock = new VirtualClock();
  const known = new Set<string>();
  const requestedMs: number[] = [];
  const failed: string[] = [];
  const logger = new MemoryLogger();
  const control = {
    report: async (runnerId: string) => {
      requestedMs.push(clock.nowMs());
      if (runnerId === throwsFor) throw new TypeError('Invalid URL');
      await sleep(clock, ANSWER_MS);
      return ok({} as RunnerReport);
    },
  } as unknown as RunnerControl;
  const poller = new ReportPoller({
    clock,
    logger,
    control,
    options: DEFAULT_OPTIONS,
    processorShare: PROCESSOR_SHARE,
    onReport: controller => known.add(controller.registration.runnerId),
  });
  const controllers = Array.from({length: runners}, (_, index) => {
    const runnerId = `r${index}`;
    return {
      registration: {runnerId, address: 'runner'},
      isReachable: true,
      isReportDue: index < awaited,
      recordReportFailure: () => void failed.push(runnerId),
      get isReady() {
        return known.has(runnerId);
      },
    } as RunnerController;
  });
  const runFor = async (forMs: number) => {
    for (let atMs = 0; atMs < forMs; atMs += REPORT_TICK_MS) {
      poller.pollDue(controllers);
      await clock.advance(REPORT_TICK_MS);
    }
  };
  return {known, failed, logger, asked: requestedMs, runFor};
}

// Guards against a holder that queries thousands of runners at the same moment:
// it answers nothing for seconds, its lease lapses, and the next holder does
// the same.
describe('ReportPoller, with unknown runners', () => {
  it('polls a few at once', async () => {
    const {known, runFor} = createSimulation(MAX_AT_ONCE);
    await runFor(REPORT_TICK_MS);
    expect(known.size).toBe(MAX_AT_ONCE);
  });

  it('polls no more of them after many awaited ones', async () => {
    const {asked, runFor} = createSimulation(3_000, {awaited: 2 * MAX_AT_ONCE});
    await runFor(REPORT_TICK_MS);
    const first = asked.length;
    await runFor(REPORT_TICK_MS);
    expect(asked.length - first).toBeLessThanOrEqual(MAX_AT_ONCE);
  });

  it('polls thousands at the rate of its processor share', async () => {
    const {known, asked, runFor} = createSimulation(3_000);
    await runFor(1_000);
    const perSecond =
      (DEFAULT_OPTIONS.firstReportsPerCoreSecond +
        DEFAULT_OPTIONS.reportsPerCoreSecond) *
      PROCESSOR_SHARE;
    expect(asked.length).toBeLessThanOrEqual(MAX_AT_ONCE + perSecond);
    await runFor(30_000);
    expect(known.size).toBe(3_000);
  });
});

describe('ReportPoller, with a runner whose address can’t be used', () => {
  // Guards against a holder that ends for one runner, and against one that
  // never polls that runner again.
  it('polls the others, and that one again', async () => {
    const {known, failed, logger, runFor} = createSimulation(3, {
      throwsFor: 'r1',
    });
    await runFor(2_000);
    expect([...known].sort()).toEqual(['r0', 'r2']);
    expect(failed.length).toBeGreaterThan(1);
    expect(logger.lines[0]).toMatch(
      /event=background-failed step=report peer=r1 error="TypeError: Invalid URL/,
    );
  });
});
