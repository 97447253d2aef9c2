import {MemoryLogger, Metrics, VirtualClock} from '@banyanfold/core';
import {describe, expect, it} from 'vitest';
import {DEFAULT_OPTIONS} from '../options.js';
import type {ExchangeInput} from '../peers/peerContract.js';
import {Holder} from '../placement/holder.js';
import {LoadRate} from '../placement/loadRate.js';
import type {LeaseSource, RunnerControl} from '../types.js';
import {FleetView} from '../view/fleetView.js';

const OWN = 'own:7';
const LARGE = 1.3;
const SMALL = 0.25;

function holderAt(clock: VirtualClock): Holder {
  const logger = new MemoryLogger();
  const lease = {current: () => ({isHolder: true, fencingToken: 1, term: 1})};
  return new Holder({
    clock,
    logger,
    metrics: new Metrics(),
    lease: lease as unknown as LeaseSource,
    control: {} as RunnerControl,
    view: new FleetView(clock, logger),
    options: DEFAULT_OPTIONS,
    holder: OWN,
    loadRate: new LoadRate(1_000, 0),
    isLeaving: () => false,
  });
}

function inputOf(entry: string, processorShare: number): ExchangeInput {
  return {
    entry,
    processorShare,
    configVersion: 1,
    runnersChange: 0,
    openWork: {},
    adaptersInUse: {},
    modelsInUse: {},
    demand: [],
  };
}

/** Whether the holder tells an entry to stand by for the lease. */
function isToldToStandBy(
  holder: Holder,
  entry: string,
  processorShare: number,
): boolean {
  const output = holder.exchange(inputOf(entry, processorShare));
  return output.kind === 'told' && output.isStandby;
}

describe('Holder.exchange', () => {
  it('lets an entry stand by that has just come', async () => {
    // No process joins and leaves the group by turns. An entry comes between two
    // choices of who stands by; told that it doesn't, it would leave the group,
    // and come back with the next choice.
    const clock = new VirtualClock();
    const holder = holderAt(clock);
    expect(isToldToStandBy(holder, OWN, LARGE)).toBe(true);
    await clock.advance(10);
    expect(isToldToStandBy(holder, 'new:7', LARGE)).toBe(true);
  });

  it('gives the lease away only after the others have heard', async () => {
    const clock = new VirtualClock();
    const holder = holderAt(clock);
    isToldToStandBy(holder, 'large:7', LARGE);
    expect(isToldToStandBy(holder, OWN, SMALL)).toBe(true);
    await clock.advance(1_000);
    isToldToStandBy(holder, 'large:7', LARGE);
    expect(isToldToStandBy(holder, OWN, SMALL)).toBe(false);
  });
});
