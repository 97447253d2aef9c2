import {MemoryLogger, Metrics, sleep, VirtualClock} from '@banyanfold/core';
import {beforeEach, describe, expect, it} from 'vitest';
import {FairShares} from '../callers/fairShares.js';
import {UsageAccounts} from '../callers/usageAccounts.js';
import {CrashSuspects} from '../crashes/crashSuspects.js';
import {DEFAULT_OPTIONS} from '../options.js';
import {HolderLink} from '../peers/holderLink.js';
import type {PeerClients} from '../peers/peerClients.js';
import {ReplicaList} from '../streams/replicaList.js';
import type {
  ExchangeInput,
  ExchangeOutput,
  HolderHandlers,
  NotHolder,
} from '../peers/peerContract.js';
import {DemandMeter} from '../placement/demandMeter.js';
import {LoadRate} from '../placement/loadRate.js';
import {HeldCopies} from '../runners/heldCopies.js';
import {RunnerCapacities} from '../runners/runnerCapacities.js';
import {RunnerRateLimits} from '../runners/runnerRateLimits.js';
import {RunnerStates} from '../runners/runnerStates.js';
import type {LeaseSource} from '../types.js';
import {FleetView} from '../view/fleetView.js';

const SELF = {address: 'e2:7', failureDomain: 'a', processorShare: 0.5};
const OUTPUT: ExchangeOutput = {
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
let runnersConfirmedAtMs: number[];
let owns: boolean;
let answerDelayMs: number;
let readPosition: number;
let demand: DemandMeter;
let fairShares: FairShares;
let areSharesOn: boolean;

/** A link without a network, by default in the process that owns the lease. */
function startLink(): HolderLink {
  const logger = new MemoryLogger();
  const view = new FleetView(clock, logger);
  const lease = {
    current: () => ({
      isHolder,
      owns,
      isVacant,
      fencingToken: 1,
      holderAddress: 'e1:7',
    }),
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
  const clients = {
    clientFor: () => ({
      exchange: async () => {
        await sleep(clock, answerDelayMs);
        return answer;
      },
    }),
    drop: () => {},
    close: () => {},
  } as unknown as PeerClients;
  const link = new HolderLink({
    clients,
    clock,
    logger,
    metrics: new Metrics(),
    options: DEFAULT_OPTIONS,
    lease,
    ownHandlers: own,
    self: SELF,
    demand,
    usage: new UsageAccounts({
      clock,
      windowMs: 8_000,
      isFirstStart: true,
      random: () => 0.5,
      usageCapOf: () => undefined,
    }),
    fairShares,
    suspects: new CrashSuspects(clock),
    replicaList: new ReplicaList(),
    states: new RunnerStates(clock, logger, DEFAULT_OPTIONS),
    rateLimits: new RunnerRateLimits({
      clock,
      logger,
      metrics: new Metrics(),
      random: () => 0.5,
    }),
    capacities: new RunnerCapacities({
      clock,
      logger,
      metrics: new Metrics(),
      currentStart: () => undefined,
    }),
    heldCopies: new HeldCopies(view, () => clock.nowMs(), 1_500),
    view,
    loadRate: new LoadRate(1_000, 0),
    onEntryCount: () => {},
    configVersion: () => 1,
    onNewerConfig: () => {},
    onConfigCurrent: atMs => confirmedAtMs.push(atMs),
    onRunnersCurrent: atMs => runnersConfirmedAtMs.push(atMs),
    runnersChange: () => 0,
    hasReadRunners: position => position <= readPosition,
    onRunnersChange: () => {},
    random: () => 0.5,
  });
  link.start();
  return link;
}

beforeEach(() => {
  clock = new VirtualClock();
  answer = OUTPUT;
  isHolder = true;
  isVacant = false;
  standbyCalls = [];
  inputs = [];
  confirmedAtMs = [];
  runnersConfirmedAtMs = [];
  owns = true;
  answerDelayMs = 0;
  readPosition = 0;
  demand = new DemandMeter();
  areSharesOn = true;
  fairShares = new FairShares({
    clock,
    random: () => 0.5,
    isEnabled: () => areSharesOn,
  });
});

describe('HolderLink', () => {
  const request = {
    pool: 'drafting/m1',
    organisation: 'claims',
    priority: 1,
    work: 4,
    targetMs: 800,
    leftMs: 5_000,
  };

  // Guards against a division by admitted demand only, which would grow the
  // share of whoever is refused least.
  it('reports the demand, refused or not, and the backlog, and applies limits', async () => {
    const limit: [number, number] = [1, 0.1];
    answer = {...OUTPUT, organisationShares: {[request.pool]: {claims: limit}}};
    fairShares.decide(request);
    const link = startLink();
    expect(inputs[0]!.poolBacklogs).toEqual({
      [request.pool]: {requests: 1, work: 4, workMs: 3_200},
    });
    expect(fairShares.decide(request)!.kind).toBe('refuse');
    await clock.advance(300);
    link.stop();
    const reports = inputs.flatMap(({batch}) => batch.demandByOrganisation!);
    const {pool, organisation, priority} = request;
    const row = {pool, organisation, priority, asked: 4};
    expect(reports).toEqual([
      {...row, admitted: 4},
      {...row, admitted: 0},
    ]);
  });

  // Guards against an effect on deployments without the setting.
  it('sends and applies nothing of shares unless they are switched on', async () => {
    areSharesOn = false;
    const limit: [number, number] = [0, 0];
    answer = {...OUTPUT, organisationShares: {[request.pool]: {claims: limit}}};
    const link = startLink();
    expect(fairShares.decide(request)).toBeUndefined();
    expect(fairShares.isOverShare(request.pool, 'claims')).toBe(false);
    await clock.advance(300);
    link.stop();
    const sent = JSON.stringify(inputs);
    for (const field of [
      'demandByOrganisation',
      'poolBacklogs',
      'poolProgress',
    ]) {
      expect(sent).not.toContain(field);
    }
  });

  it('does not join the lease group after its start, in fleets of any size', async () => {
    // Adapters must stay available. A process that joined as soon as it learned
    // of a holder took the lease from one that had just started to give orders,
    // and gave no orders itself for another 3 s.
    for (const entries of [3, 20]) {
      answer = {...OUTPUT, entries};
      const link = startLink();
      await clock.advance(2_000);
      expect(standbyCalls).toEqual([]);
      link.stop();
    }
  });

  it('tries to acquire a vacant lease only after the standbys before it', async () => {
    // If all entries joined at once, the store would reassign the lease with
    // each of them, and each new holder would have to wait before it gives
    // orders.
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

  // Otherwise a version counts as current because the runners were read
  // recently.
  it('confirms the configuration only by the time of its last read', async () => {
    answer = {...OUTPUT, configReadAgeMs: 4_000};
    const link = startLink();
    await clock.advance(5_000);
    expect(Math.max(...confirmedAtMs)).toBeLessThanOrEqual(1_000);
    link.stop();
  });

  // Guards against a view that stays old because the last position that a peer
  // names belongs to no change that this process has seen.
  it('takes the age of a holder that has read no further', async () => {
    answer = {...OUTPUT, runnersChange: 5};
    const link = startLink();
    await clock.advance(100);
    expect(runnersConfirmedAtMs).toEqual([]);
    readPosition = 5;
    await clock.advance(200);
    expect(runnersConfirmedAtMs).toEqual([250]);
    link.stop();
  });

  // Guards against an answer that waited in a socket and looks new.
  it('counts the age of what it is told from when it asked', async () => {
    isHolder = false;
    owns = false;
    answerDelayMs = 300;
    const link = startLink();
    await clock.advance(400);
    expect(runnersConfirmedAtMs).toEqual([0]);
    link.stop();
  });

  // Otherwise this process polls rarely while the holder can't read the
  // configuration.
  it('does not rely on a holder without a recent read of the configuration', async () => {
    isHolder = false;
    const link = startLink();
    await clock.advance(500);
    expect(link.isRelayed).toBe(true);
    answer = {...OUTPUT, configReadAgeMs: 4_000};
    await clock.advance(500);
    expect(link.isRelayed).toBe(false);
    link.stop();
  });

  // Guards against waiting for the word of a holder that reads nothing itself.
  it('relies on a holder for no longer than a leaving may be unknown', async () => {
    isHolder = false;
    const link = startLink();
    const leavingBoundMs = 2_000;
    const ownReadMs = 500;
    answer = {...OUTPUT, runnersReadAgeMs: leavingBoundMs - ownReadMs};
    await clock.advance(500);
    expect(link.isRelayed).toBe(false);
    // A quiet fleet is read at least every 0.9 s, and a relay adds an exchange.
    const exchangeMs = DEFAULT_OPTIONS.exchangeIntervalMs;
    answer = {...OUTPUT, runnersReadAgeMs: 900 + exchangeMs};
    await clock.advance(500);
    expect(link.isRelayed).toBe(true);
    link.stop();
  });

  it('resends a batch that no holder has acknowledged', async () => {
    const link = startLink();
    await clock.advance(300);
    answer = {kind: 'not-holder'};
    const arrival = {model: 'm1', promptTokens: 10, maxOutputTokens: 1};
    demand.recordArrival({...arrival, urgency: 1});
    await clock.advance(600);
    answer = OUTPUT;
    await clock.advance(600);
    const acknowledged = inputs.at(-2)!.batch;
    const withDemand = inputs.filter(({batch}) => batch.demand.length > 0);
    expect(new Set(withDemand.map(({batch}) => batch.batchId)).size).toBe(1);
    expect(withDemand.length).toBeGreaterThan(1);
    expect(acknowledged.demand).toEqual([]);
    link.stop();
  });
});
