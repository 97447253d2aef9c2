import {MemoryLogger, VirtualClock, sleep} from '@banyanfold/core';
import {ok} from 'neverthrow';
import {describe, expect, it} from 'vitest';
import {DEFAULT_OPTIONS} from '../options.js';
import {REPORT_TICK_MS, ReportPoller} from '../placement/reportPoller.js';
import type {RunnerController} from '../placement/runnerController.js';
import type {RunnerControl, RunnerReport} from '../types.js';

const ANSWER_MS = 20;
const PROCESSOR_SHARE = 0.5;
/** A few runners are all asked at once. */
const FEW = 32;

/** Asks runners of which nothing is known, as a process that just got the lease. */
function createPlay(runners: number, {awaited = 0} = {}) {
  const clock = new VirtualClock();
  const known = new Set<string>();
  const asked: number[] = [];
  const control = {
    report: async () => {
      asked.push(clock.nowMs());
      await sleep(clock, ANSWER_MS);
      return ok({} as RunnerReport);
    },
  } as unknown as RunnerControl;
  const asker = new ReportPoller({
    clock,
    logger: new MemoryLogger(),
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
      get isReady() {
        return known.has(runnerId);
      },
    } as RunnerController;
  });
  const runFor = async (forMs: number) => {
    for (let atMs = 0; atMs < forMs; atMs += REPORT_TICK_MS) {
      asker.pollDue(controllers);
      await clock.advance(REPORT_TICK_MS);
    }
  };
  return {known, asked, runFor};
}

// Guards against a holder of the lease that asks thousands of runners at the same
// moment: it answers nobody for seconds, its lease lapses, and the next one does
// the same.
describe('ReportAsker, of runners that nothing is known of', () => {
  it('asks a few at once', async () => {
    const {known, runFor} = createPlay(FEW);
    await runFor(REPORT_TICK_MS);
    expect(known.size).toBe(FEW);
  });

  it('asks no more of them after many whose orders are over', async () => {
    const {asked, runFor} = createPlay(3_000, {awaited: 2 * FEW});
    await runFor(REPORT_TICK_MS);
    const first = asked.length;
    await runFor(REPORT_TICK_MS);
    expect(asked.length - first).toBeLessThanOrEqual(FEW);
  });

  it('asks thousands at the rate that its processor has room for', async () => {
    const {known, asked, runFor} = createPlay(3_000);
    await runFor(1_000);
    const perSecond =
      (DEFAULT_OPTIONS.firstReportsPerCoreSecond +
        DEFAULT_OPTIONS.reportsPerCoreSecond) *
      PROCESSOR_SHARE;
    expect(asked.length).toBeLessThanOrEqual(FEW + perSecond);
    await runFor(30_000);
    expect(known.size).toBe(3_000);
  });
});
