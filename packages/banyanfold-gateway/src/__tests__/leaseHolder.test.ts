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
import {ReplicaList} from '../streams/replicaList.js';
import {FleetView} from '../view/fleetView.js';
import {exampleRetryGrants} from './exampleRetryGrants.js';

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
  isLeaving: false,
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

function configWithModel(name: string): FleetConfig {
  const {services} = CONFIG;
  const drafting = services.get('drafting')!;
  const spec = {
    name,
    weightsMb: 10,
    adapterMb: 1,
    storeLoadMs: 300,
    diskLoadMs: 200,
    memoryLoadMs: 100,
  };
  const engine = {...drafting.engine!, models: new Map([[name, spec]])};
  return {...CONFIG, services: new Map([['drafting', {...drafting, engine}]])};
}

const STALL_MS = 4_000;
const AFTER_STALL_MS = 2_500;

/** The clock of a process that stalls for a while. */
class StallingClock extends VirtualClock {
  stalledMs = 0;

  override nowMs(): number {
    return super.nowMs() + this.stalledMs;
  }
}

interface HeldLease {
  isUnexpired: boolean;
  term: number;
  isFirst: boolean;
}

function createHolder(clock: VirtualClock): LeaseHolder {
  return createHolderAndView(clock, {} as RunnerControl).holder;
}

function createHolderAndView(
  clock: VirtualClock,
  control: RunnerControl,
  runnersChange = () => 0,
): {holder: LeaseHolder; view: FleetView; state: HeldLease} {
  const logger = new MemoryLogger();
  const view = new FleetView(clock, logger);
  const state = {
    isHolder: true,
    owns: true,
    isUnexpired: true,
    fencingToken: 1,
    term: 1,
    isFirst: true,
  };
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
    replicaList: new ReplicaList(),
    crashes: new CrashLedger({
      clock,
      logger,
      metrics: new Metrics(),
      epoch: OWN,
    }),
    processorShare: LARGE,
    runnersChange,
    onNewerConfig: () => {},
    usage: new UsageAccounts({
      clock,
      windowMs: 8_000,
      isFirstStart: true,
      random: () => 0.5,
      usageCapOf: () => undefined,
    }),
    retryGrants: exampleRetryGrants(clock),
    isLeaving: () => false,
  });
  return {holder, view, state};
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

/** Whether the holder selects an entry as a standby. */
function isSelectedAsStandby(
  holder: LeaseHolder,
  entry: string,
  processorShare: number,
): boolean {
  const output = holder.exchange(inputOf(entry, processorShare));
  return output.kind === 'told' && output.standbys.includes(entry);
}

describe('LeaseHolder', () => {
  // Guards against permits of a holder whose successor grants some already.
  it('grants retries while its lease is unexpired, and late in a new term', async () => {
    const clock = new VirtualClock();
    const {holder, state} = createHolderAndView(clock, {} as RunnerControl);
    const granted = () =>
      holder.grantRetries({service: 'desk', count: 1, isForwarded: false})
        ?.granted;
    expect(granted()).toBe(1);
    state.isUnexpired = false;
    expect(granted()).toBeUndefined();
    state.isUnexpired = true;
    state.term += 1;
    state.isFirst = false;
    expect(granted()).toBe(0);
    await clock.advance(12_999);
    expect(granted()).toBe(0);
    await clock.advance(1);
    expect(granted()).toBe(1);
  });

  // Guards against a slack that each of several holders grants, since each of
  // them takes itself for the first one.
  it('grants no retries at once if another process may have held the lease', async () => {
    const clock = new VirtualClock();
    const {holder, state} = createHolderAndView(clock, {} as RunnerControl);
    state.isFirst = false;
    const granted = () =>
      holder.grantRetries({service: 'desk', count: 1, isForwarded: false})
        ?.granted;
    expect(granted()).toBe(0);
    await clock.advance(13_000);
    expect(granted()).toBe(1);
  });

  // Guards against entries that take a view for current which the holder has
  // already found to be outdated.
  it('names a change as soon as it has read it itself', () => {
    let runnersChange = 3;
    const {holder} = createHolderAndView(
      new VirtualClock(),
      {} as RunnerControl,
      () => runnersChange,
    );
    const changeTold = () => {
      const output = holder.exchange(inputOf('e2:7', SMALL));
      return output.kind === 'told' ? output.runnersChange : undefined;
    };
    expect(changeTold()).toBe(3);
    runnersChange = 7;
    expect(changeTold()).toBe(7);
  });

  // Guards against a new holder that never learns the speeds of runners.
  it('sends the speeds that entries reported, from the next exchange', () => {
    const holder = createHolder(new VirtualClock());
    const speedsAfter = (runnerSpeeds?: ExchangeInput['runnerSpeeds']) => {
      const output = holder.exchange({...inputOf(OWN, LARGE), runnerSpeeds});
      return output.kind === 'told' ? output.runnerSpeeds : undefined;
    };
    expect(speedsAfter()).toEqual({});
    speedsAfter([{runnerId: 'r1', speed: 0.5, samples: 2}]);
    expect(speedsAfter()).toEqual({r1: [0.5, 0]});
  });

  it('treats a runner whose report shows a restart as empty', async () => {
    // A runner crashes and restarts under its id, and its report shows this
    // before a heartbeat does. Without detection, requests would be routed to
    // models that are not there. A late report from before the restart must not
    // restore its copies.
    const clock = new VirtualClock();
    const oldReport = {
      bornMs: 100,
      models: [{name: 'm1', version: 1, adapters: []}],
    };
    const newReport = {bornMs: 200, models: []};
    let currentReport: object = oldReport;
    const control = {
      report: async () => ok({...EMPTY_REPORT, ...currentReport}),
    } as unknown as RunnerControl;
    const {holder, view} = createHolderAndView(clock, control);
    view.onConfig(CONFIG);
    holder.start();
    view.onRegistration(REGISTRATION);
    const reportedModels = async (report: object) => {
      currentReport = report;
      await clock.advance(DEFAULT_OPTIONS.reportIntervalMs);
      const output = holder.exchange(inputOf(OWN, LARGE));
      if (output.kind !== 'told') throw new Error('not told');
      return output.copies.runners.map(({models}) => models);
    };
    expect(await reportedModels(oldReport)).toEqual([['m1']]);
    expect(await reportedModels(newReport)).toEqual([[]]);
    expect(await reportedModels(oldReport)).toEqual([[]]);
    holder.stop();
  });
});

// Guards against a holder that has no time left to answer: with thousands of
// runners, the heartbeat of one took as long as those of all others together.
describe('LeaseHolder, on a heartbeat', () => {
  it('checks only the runner that sent it', () => {
    const {holder, view} = createHolderAndView(
      new VirtualClock(),
      {} as RunnerControl,
    );
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

describe('LeaseHolder.exchange', () => {
  // Guards against peers that rely on a holder whose reads are not answered.
  it('tells the age of its last read, not of the last change that it received', async () => {
    const clock = new VirtualClock();
    const {holder, view} = createHolderAndView(clock, {} as RunnerControl);
    const readAgeMs = () => {
      const output = holder.exchange(inputOf('e1:7', SMALL));
      return output.kind === 'told' ? output.runnersReadAgeMs : undefined;
    };
    await clock.advance(10_000);
    // The answer to a read that was sent 3 s ago waited in a socket.
    view.onRegistration(REGISTRATION);
    view.onRunnersCurrent(7_000);
    expect(readAgeMs()).toBe(3_000);
    // Nothing changes at the runners, and reads are answered.
    view.onRunnersCurrent(9_900);
    expect(readAgeMs()).toBe(100);
  });

  // Guards against a holder that has no time left to renew its lease: each
  // exchange of hundreds of entries iterated over thousands of runners.
  it('iterates over the runners once for many entries', async () => {
    const report = {...EMPTY_REPORT, bornMs: REGISTRATION.bornMs};
    const control = {report: async () => ok(report)};
    const clock = new VirtualClock();
    const {holder, view} = createHolderAndView(
      clock,
      control as unknown as RunnerControl,
    );
    view.onConfig(CONFIG);
    holder.start();
    view.onRegistration(REGISTRATION);
    await clock.advance(DEFAULT_OPTIONS.reportIntervalMs);
    const servingModels = vi.spyOn(RunnerController.prototype, 'servingModels');
    for (let entry = 0; entry < 100; entry++) {
      holder.exchange(inputOf(`e${entry}:7`, LARGE));
    }
    expect(servingModels.mock.calls.length).toBeLessThanOrEqual(2);
    servingModels.mockRestore();
    holder.stop();
  });

  // Guards against a holder that stalled during a pass over its runners and
  // then reported no changes for many times as long.
  it('reports new copies soon after a stall', async () => {
    const clock = new StallingClock();
    let models: object[] = [];
    const {bornMs} = REGISTRATION;
    const control = {
      report: async () => ok({...EMPTY_REPORT, bornMs, models}),
    } as unknown as RunnerControl;
    const {holder, view} = createHolderAndView(clock, control);
    view.onConfig(CONFIG);
    holder.start();
    view.onRegistration(REGISTRATION);
    await clock.advance(DEFAULT_OPTIONS.reportIntervalMs);
    const servingModels = vi.spyOn(RunnerController.prototype, 'servingModels');
    servingModels.mockImplementationOnce(() => {
      clock.stalledMs = STALL_MS;
      return [];
    });
    holder.exchange(inputOf(OWN, LARGE));
    models = [{name: 'm1', version: 1, adapters: []}];
    await clock.advance(AFTER_STALL_MS);
    const output = holder.exchange(inputOf(OWN, LARGE));
    servingModels.mockRestore();
    holder.stop();
    if (output.kind !== 'told') throw new Error('not told');
    expect(output.copies.runners).toMatchObject([{models: ['m1']}]);
  });

  // Guards against callers that wait for a copy which ends with its runner.
  it('estimates the delay of a model that only leaving runners hold', async () => {
    const clock = new VirtualClock();
    const {bornMs, runnerId} = REGISTRATION;
    const models = [{name: 'm1', version: 1, adapters: []}];
    const control = {
      report: async () => ok({...EMPTY_REPORT, bornMs, models}),
    } as unknown as RunnerControl;
    const {holder, view} = createHolderAndView(clock, control);
    view.onConfig(configWithModel('m1'));
    holder.start();
    view.onRegistration(REGISTRATION);
    const copiesInMs = async () => {
      await clock.advance(DEFAULT_OPTIONS.reportIntervalMs);
      const input = {...inputOf(OWN, LARGE), waiting: {m1: 1}};
      const output = holder.exchange(input);
      if (output.kind !== 'told') throw new Error('not told');
      return output.copiesInMs;
    };
    await copiesInMs();
    expect(await copiesInMs()).toEqual({});
    view.noteLeaving({runnerId, bornMs}, 'peer');
    const delaysMs = await copiesInMs();
    holder.stop();
    expect(delaysMs['m1']).toBeGreaterThan(0);
  });

  it('selects an entry that has just appeared', async () => {
    // Guards against a process that joins and leaves the group repeatedly. An
    // entry that appears between two selections and is not selected would leave
    // the group and rejoin at the next selection.
    const clock = new VirtualClock();
    const holder = createHolder(clock);
    expect(isSelectedAsStandby(holder, OWN, LARGE)).toBe(true);
    await clock.advance(10);
    expect(isSelectedAsStandby(holder, 'new:7', LARGE)).toBe(true);
  });

  it('gives up the lease only after the others know the standbys', async () => {
    const clock = new VirtualClock();
    const holder = createHolder(clock);
    isSelectedAsStandby(holder, 'large:7', LARGE);
    expect(isSelectedAsStandby(holder, OWN, SMALL)).toBe(true);
    await clock.advance(1_000);
    isSelectedAsStandby(holder, 'large:7', LARGE);
    expect(isSelectedAsStandby(holder, OWN, SMALL)).toBe(false);
  });
});
