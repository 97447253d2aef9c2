import {MemoryLogger, Metrics, sleep, VirtualClock} from '@banyanfold/core';
import {beforeEach, describe, expect, it} from 'vitest';
import {FleetView} from '../view/fleetView.js';
import {ViewFreshness} from '../view/viewFreshness.js';

const MAX_AGE_MS = 1_450;
const WAIT_MS = 250;
const SUSPENSION_MS = 10_000;

let clock: VirtualClock;
let view: FleetView;
let freshness: ViewFreshness;
let reads: number;
/** Time until a read is answered; undefined if it is not. */
let readMs: number | undefined;
/** Whether reads that are answered succeed. */
let isAvailable: boolean;

beforeEach(() => {
  clock = new VirtualClock();
  const logger = new MemoryLogger();
  view = new FleetView(clock, logger);
  view.onRunnersCurrent(0);
  reads = 0;
  readMs = 5;
  isAvailable = true;
  freshness = new ViewFreshness({
    clock,
    logger,
    metrics: new Metrics(),
    view,
    confirmRunners: async () => {
      reads += 1;
      const sentMs = clock.nowMs();
      await sleep(clock, readMs ?? Infinity);
      if (isAvailable) view.onRunnersCurrent(sentMs);
    },
  });
});

/** Time that a request waits; advances the clock by 300 ms. */
async function waitedMs(): Promise<number | undefined> {
  const startMs = clock.nowMs();
  let endMs: number | undefined;
  void freshness.untilFresh().then(() => {
    endMs = clock.nowMs();
  });
  await clock.advance(WAIT_MS + 50);
  return endMs === undefined ? undefined : endMs - startMs;
}

describe('ViewFreshness', () => {
  it('lets requests pass by a recent view, without a read', async () => {
    await clock.advance(MAX_AGE_MS);
    expect(freshness.check()).toBe(true);
    await freshness.untilFresh();
    expect(reads).toBe(0);
  });

  // Guards against requests by a view that all ways to renew have left behind.
  it('holds requests by an old view until one read confirms it', async () => {
    await clock.advance(MAX_AGE_MS + 1);
    expect(freshness.check()).toBe(false);
    const both = [waitedMs(), freshness.untilFresh()];
    expect(await both[0]).toBe(readMs);
    await both[1];
    expect(reads).toBe(1);
    expect(freshness.check()).toBe(true);
  });

  // Guards against callers that wait again and again while the store is down.
  it('holds requests once while the store is silent or refuses', async () => {
    readMs = undefined;
    await clock.advance(MAX_AGE_MS + 1);
    expect(await waitedMs()).toBe(WAIT_MS);
    expect(await waitedMs()).toBe(0);
    await clock.advance(SUSPENSION_MS);
    readMs = 5;
    isAvailable = false;
    expect(await waitedMs()).toBe(readMs);
    expect(await waitedMs()).toBe(0);
    expect(reads).toBe(2);
  });

  it('holds them again as soon as the store has answered in time', async () => {
    readMs = undefined;
    await clock.advance(MAX_AGE_MS + 1);
    await waitedMs();
    view.onRunnersCurrent(clock.nowMs());
    expect(freshness.check()).toBe(true);
    await clock.advance(MAX_AGE_MS + 1);
    expect(freshness.check()).toBe(false);
  });

  // Guards against holding requests by turns while the store is only slow.
  it('does not hold them again after a late answer', async () => {
    readMs = 600;
    await clock.advance(MAX_AGE_MS + 1);
    expect(await waitedMs()).toBe(WAIT_MS);
    await clock.advance(350);
    expect(freshness.check()).toBe(true);
    await clock.advance(MAX_AGE_MS);
    expect(freshness.check()).toBe(true);
  });
});
