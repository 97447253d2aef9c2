import {MemoryLogger, Metrics, VirtualClock} from '@banyanfold/core';
import {beforeEach, describe, expect, it} from 'vitest';
import {UsageAccounts} from '../callers/usageAccounts.js';
import {CrashSuspects} from '../crashes/crashSuspects.js';
import {DEFAULT_OPTIONS} from '../options.js';
import {HolderLink} from '../peers/holderLink.js';
import type {
  ExchangeInput,
  ExchangeOutput,
  HolderHandlers,
  NotHolder,
} from '../peers/peerContract.js';
import {DemandMeter} from '../placement/demandMeter.js';
import {LoadRate} from '../placement/loadRate.js';
import {HeldCopies} from '../runners/heldCopies.js';
import {RunnerRateLimits} from '../runners/runnerRateLimits.js';
import {RunnerStates} from '../runners/runnerStates.js';
import type {LeaseSource} from '../types.js';
import {FleetView} from '../view/fleetView.js';

const SELF = {address: 'e2:7', failureDomain: 'a', processorShare: 0.5};
const TOLD: ExchangeOutput = {
  kind: 'told',
  holder: SELF.address,
  isOrdering: true,
  ageMs: 0,
  configVersion: 1,
  runnersChange: 0,
  runnersReadAgeMs: 0,
  configReadAgeMs: 0,
  entries: 3,
  standbys: ['e1:7', SELF.address, 'e3:7'],
  relays: [],
  loadAgesMs: [],
  copies: {epoch: 'h', revision: 1, isWhole: true, runners: [], gone: []},
  copiesInMs: {},
  peersWork: {},
  peersRequests: {},
};

let clock: VirtualClock;
let answer: ExchangeOutput | NotHolder;
let isHolder: boolean;
let isVacant: boolean;
let standbyCalls: boolean[];
let inputs: ExchangeInput[];
let confirmedAtMs: number[];
let demand: DemandMeter;

/** A link whose own process has the lease, so that nothing goes over a network. */
function startLink(): HolderLink {
  const logger = new MemoryLogger();
  const view = new FleetView(clock, logger);
  const lease = {
    current: () => ({isHolder, owns: true, isVacant, fencingToken: 1}),
    setStandby: (isStandby: boolean) => standbyCalls.push(isStandby),
    refreshHolder: () => {},
    noteHolder: () => {},
  } as unknown as LeaseSource;
  const own = {
    exchange: (input: ExchangeInput) => {
      inputs.push(input);
      return answer;
    },
  } as unknown as HolderHandlers;
  const link = new HolderLink({
    clock,
    logger,
    metrics: new Metrics(),
    options: DEFAULT_OPTIONS,
    lease,
    own,
    self: SELF,
    demand,
    usage: new UsageAccounts({
      clock,
      windowMs: 8_000,
      isFirstStart: true,
      random: () => 0.5,
      isKnown: () => true,
    }),
    suspects: new CrashSuspects(clock),
    states: new RunnerStates(clock, logger, DEFAULT_OPTIONS),
    rateLimits: new RunnerRateLimits({
      clock,
      logger,
      metrics: new Metrics(),
      random: () => 0.5,
      entries: () => 3,
    }),
    held: new HeldCopies(view, () => clock.nowMs(), 1_500),
    loadRate: new LoadRate(1_000, 0),
    onEntries: () => {},
    configVersion: () => 1,
    onNewerConfig: () => {},
    onConfigCurrent: atMs => confirmedAtMs.push(atMs),
    runnersChange: () => 0,
    onRunnersChange: () => {},
    random: () => 0.5,
  });
  link.start();
  return link;
}

beforeEach(() => {
  clock = new VirtualClock();
  answer = TOLD;
  isHolder = true;
  isVacant = false;
  standbyCalls = [];
  inputs = [];
  confirmedAtMs = [];
  demand = new DemandMeter();
});

describe('HolderLink', () => {
  it('stays out of the group after its start, in fleets of any size', async () => {
    // Callers get adapters all the while: a process that joined when it heard of a
    // holder took the lease from one that had just begun to order, and waited for
    // another 3 s before it ordered itself.
    for (const entries of [3, 20]) {
      answer = {...TOLD, entries};
      const link = startLink();
      await clock.advance(2_000);
      expect(standbyCalls).toEqual([]);
      link.stop();
    }
  });

  it('takes a vacant lease only when its turn comes', async () => {
    // Nobody has the lease. Would all entries join at once, the store would deal
    // it anew with each, and every one of them would have to wait to order.
    const link = startLink();
    await clock.advance(500);
    standbyCalls = [];
    answer = {kind: 'not-holder'};
    await clock.advance(3_000);
    expect(standbyCalls).toEqual([]);
    isVacant = true;
    await clock.advance(250);
    expect(standbyCalls).toEqual([]);
    await clock.advance(1_000);
    expect(standbyCalls).toContain(true);
    link.stop();
  });

  // Guards against a version that counts as the newest because runners were read.
  it('confirms the configuration only by when the holder read it', async () => {
    answer = {...TOLD, configReadAgeMs: 4_000};
    const link = startLink();
    await clock.advance(5_000);
    expect(Math.max(...confirmedAtMs)).toBeLessThanOrEqual(1_000);
    link.stop();
  });

  // Guards against long polls while the holder itself reads no configuration.
  it('relies on no holder that has not read the configuration lately', async () => {
    isHolder = false;
    const link = startLink();
    await clock.advance(500);
    expect(link.isRelayed).toBe(true);
    answer = {...TOLD, configReadAgeMs: 4_000};
    await clock.advance(500);
    expect(link.isRelayed).toBe(false);
    link.stop();
  });

  it('sends again what no holder has taken', async () => {
    const link = startLink();
    await clock.advance(300);
    answer = {kind: 'not-holder'};
    const arrival = {model: 'm1', promptTokens: 10, maxOutputTokens: 1};
    demand.recordArrival({...arrival, urgency: 1});
    await clock.advance(600);
    answer = TOLD;
    await clock.advance(600);
    const taken = inputs.at(-2)!.batch;
    const asked = inputs.filter(({batch}) => batch.demand.length > 0);
    expect(new Set(asked.map(({batch}) => batch.batchId)).size).toBe(1);
    expect(asked.length).toBeGreaterThan(1);
    expect(taken.demand).toEqual([]);
    link.stop();
  });
});
