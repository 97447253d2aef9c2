import {MemoryLogger, Metrics, VirtualClock} from '@banyanfold/core';
import {ok} from 'neverthrow';
import {describe, expect, it, vi} from 'vitest';
import {UsageAccounts} from '../callers/usageAccounts.js';
import {CrashLedger} from '../crashes/crashLedger.js';
import {DEFAULT_OPTIONS} from '../options.js';
import type {ExchangeInput} from '../peers/peerContract.js';
import {LeaseHolder} from '../placement/leaseHolder.js';
import {LoadRate} from '../placement/loadRate.js';
import {RunnerController} from '../placement/runnerController.js';
import type {
  FleetConfig,
  LeaseSource,
  RunnerControl,
  RunnerRegistration,
} from '../types.js';
import {FleetView} from '../view/fleetView.js';

const OWN = 'own:7';
const LARGE = 1.3;
const SMALL = 0.25;

const REGISTRATION: RunnerRegistration = {
  runnerId: 'r1',
  bornMs: 100,
  service: 'drafting',
  address: '127.0.0.1:1',
  failureDomain: 'hall-a',
  slots: 8,
  leaving: false,
  models: [],
  heartbeatNumber: 1,
};

const EMPTY_REPORT = {
  models: [],
  pendingAdapters: [],
  busy: false,
  orderNumber: 0,
  inMemory: [],
  onDisk: [],
};

const CONFIG: FleetConfig = {
  version: 1,
  routes: [],
  services: new Map([
    [
      'drafting',
      {
        name: 'drafting',
        engine: {
          slots: 8,
          kvCapacityTokens: 1_000,
          weightsMb: 100,
          adapterSlots: 2,
          loadsPerSecond: 1,
          models: new Map(),
        },
      },
    ],
  ]),
  limits: {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
};

const FROZEN_MS = 4_000;
const LONG_AFTER_MS = 2_500;

/** A clock of a process that stands still for a while. */
class StallingClock extends VirtualClock {
  stalledMs = 0;

  override nowMs(): number {
    return super.nowMs() + this.stalledMs;
  }
}

function holderAt(clock: VirtualClock): LeaseHolder {
  return holderWith(clock, {} as RunnerControl).holder;
}

function holderWith(
  clock: VirtualClock,
  control: RunnerControl,
): {holder: LeaseHolder; view: FleetView} {
  const logger = new MemoryLogger();
  const view = new FleetView(clock, logger);
  const state = {isHolder: true, owns: true, fencingToken: 1, term: 1};
  const lease = {current: () => state};
  const holder = new LeaseHolder({
    clock,
    logger,
    metrics: new Metrics(),
    lease: lease as unknown as LeaseSource,
    control,
    view,
    options: DEFAULT_OPTIONS,
    holder: OWN,
    loadRate: new LoadRate(1_000, 0),
    crashes: new CrashLedger({
      clock,
      logger,
      metrics: new Metrics(),
      epoch: OWN,
    }),
    processorShare: LARGE,
    onNewerConfig: () => {},
    usage: new UsageAccounts({
      clock,
      windowMs: 8_000,
      isFirstStart: true,
      random: () => 0.5,
      isKnown: () => true,
    }),
    isLeaving: () => false,
  });
  return {holder, view};
}

function inputOf(entry: string, processorShare: number): ExchangeInput {
  return {
    entry,
    members: [{address: entry, failureDomain: 'hall-a', processorShare}],
    configVersion: 1,
    runnersChange: 0,
    openWork: {},
    adaptersInUse: {},
    modelsInUse: {},
    waiting: {},
    batch: {batchId: entry, demand: []},
  };
}

/** Whether the holder tells an entry to stand by for the lease. */
function isToldToStandBy(
  holder: LeaseHolder,
  entry: string,
  processorShare: number,
): boolean {
  const output = holder.exchange(inputOf(entry, processorShare));
  return output.kind === 'told' && output.standbys.includes(entry);
}

describe('Holder', () => {
  it('takes a runner whose report tells of a new life for an empty one', async () => {
    // Callers would be sent to models that aren't there: the runner crashed and
    // started again under its id, and its report says so before a heartbeat does.
    // A late report of the life before must not bring its copies back.
    const clock = new VirtualClock();
    const former = {
      bornMs: 100,
      models: [{name: 'm1', version: 1, adapters: []}],
    };
    const current = {bornMs: 200, models: []};
    let said: object = former;
    const control = {
      report: async () => ok({...EMPTY_REPORT, ...said}),
    } as unknown as RunnerControl;
    const {holder, view} = holderWith(clock, control);
    view.onConfig(CONFIG);
    holder.start();
    view.onRegistration(REGISTRATION);
    const told = async (next: object) => {
      said = next;
      await clock.advance(DEFAULT_OPTIONS.reportIntervalMs);
      const output = holder.exchange(inputOf(OWN, LARGE));
      if (output.kind !== 'told') throw new Error('not told');
      return output.copies.runners.map(({models}) => models);
    };
    expect(await told(former)).toEqual([['m1']]);
    expect(await told(current)).toEqual([[]]);
    expect(await told(former)).toEqual([[]]);
    holder.stop();
  });
});

// Guards against a holder that has no time left to answer: with thousands of
// runners each heartbeat of one took as long as all others together.
describe('Holder, of a heartbeat', () => {
  it('looks at the runner alone that it comes from', () => {
    const {holder, view} = holderWith(new VirtualClock(), {} as RunnerControl);
    view.onConfig(CONFIG);
    holder.start();
    view.onRegistration(REGISTRATION);
    const allRunners = vi.spyOn(view, 'allRunners');
    view.onRegistration({...REGISTRATION, heartbeatNumber: 2});
    view.onRegistration({...REGISTRATION, runnerId: 'r2'});
    expect(allRunners).not.toHaveBeenCalled();
    holder.stop();
  });
});

describe('Holder.exchange', () => {
  // Guards against a holder that has no time left for its lease: each exchange of
  // hundreds of entries went through all of thousands of runners.
  it('goes through the runners once for many entries', async () => {
    const report = {...EMPTY_REPORT, bornMs: REGISTRATION.bornMs};
    const control = {report: async () => ok(report)};
    const clock = new VirtualClock();
    const {holder, view} = holderWith(
      clock,
      control as unknown as RunnerControl,
    );
    view.onConfig(CONFIG);
    holder.start();
    view.onRegistration(REGISTRATION);
    await clock.advance(DEFAULT_OPTIONS.reportIntervalMs);
    const lookedAt = vi.spyOn(RunnerController.prototype, 'servingModels');
    for (let entry = 0; entry < 100; entry++) {
      holder.exchange(inputOf(`e${entry}:7`, LARGE));
    }
    expect(lookedAt.mock.calls.length).toBeLessThanOrEqual(2);
    lookedAt.mockRestore();
    holder.stop();
  });

  // Guards against a holder that was frozen while it went through its runners, and
  // told of no change at them for many times as long.
  it('tells of new copies soon after it stood still', async () => {
    const clock = new StallingClock();
    let models: object[] = [];
    const {bornMs} = REGISTRATION;
    const control = {
      report: async () => ok({...EMPTY_REPORT, bornMs, models}),
    } as unknown as RunnerControl;
    const {holder, view} = holderWith(clock, control);
    view.onConfig(CONFIG);
    holder.start();
    view.onRegistration(REGISTRATION);
    await clock.advance(DEFAULT_OPTIONS.reportIntervalMs);
    const stall = vi.spyOn(RunnerController.prototype, 'servingModels');
    stall.mockImplementationOnce(() => {
      clock.stalledMs = FROZEN_MS;
      return [];
    });
    holder.exchange(inputOf(OWN, LARGE));
    models = [{name: 'm1', version: 1, adapters: []}];
    await clock.advance(LONG_AFTER_MS);
    const output = holder.exchange(inputOf(OWN, LARGE));
    stall.mockRestore();
    holder.stop();
    if (output.kind !== 'told') throw new Error('not told');
    expect(output.copies.runners).toMatchObject([{models: ['m1']}]);
  });

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
