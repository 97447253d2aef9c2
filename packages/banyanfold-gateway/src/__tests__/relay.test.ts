import {MemoryLogger, Metrics, VirtualClock} from '@banyanfold/core';
import {beforeEach, describe, expect, it} from 'vitest';
import {ShareMeter} from '../callers/shareMeter.js';
import {UsageMeter} from '../callers/usageMeter.js';
import {CrashSuspects} from '../crashes/crashSuspects.js';
import type {ExchangeInput, ExchangeOutput} from '../peers/peerContract.js';
import {Relay} from '../peers/relay.js';
import {ReplicaList} from '../streams/replicaList.js';
import {RunnerCapacities} from '../runners/runnerCapacities.js';
import {RunnerRateLimits} from '../runners/runnerRateLimits.js';
import {OutcomeMeter} from '../runners/outcomeMeter.js';
import {PendingDemand} from '../peers/pendingDemand.js';
import {DemandMeter} from '../placement/demandMeter.js';
import {FleetView} from '../view/fleetView.js';

const OWN = {address: 'relay:7', failureDomain: 'a', processorShare: 1};
const HOLDER = 'holder:7';

let clock: VirtualClock;
let demand: DemandMeter;
let shares: ShareMeter;
let relay: Relay;
let rateLimits: RunnerRateLimits;
let suspects: CrashSuspects;
let view: FleetView;
let ownWork: number;

function stateOf(fields: Partial<ExchangeOutput> = {}): ExchangeOutput {
  return {
    kind: 'told',
    holder: HOLDER,
    isOrdering: true,
    ageMs: 0,
    configVersion: 4,
    runnersChange: 9,
    runnersReadAgeMs: 100,
    entries: 20,
    standbys: [],
    relays: [OWN.address],
    loadAgesMs: [],
    copies: {
      epoch: 'h',
      revision: 1,
      isWhole: true,
      runners: [{runnerId: 'r1', models: ['m1'], adapters: [], isBusy: false}],
      gone: [],
    },
    copiesInMs: {},
    peersWork: {r1: 10},
    peersRequests: {},
    ...fields,
  };
}

function inputOf(
  entry: string,
  fields: Partial<ExchangeInput> = {},
): ExchangeInput {
  return {
    entry,
    members: [{address: entry, failureDomain: 'a', processorShare: 0.25}],
    configVersion: 4,
    runnersChange: 9,
    openWork: {},
    adaptersInUse: {},
    modelsInUse: {},
    waiting: {},
    batch: {batchId: `${entry}#1`, demand: []},
    ...fields,
  };
}

function exchange(input: ExchangeInput): ExchangeOutput {
  const output = relay.exchange(input);
  if (output.kind !== 'told') throw new Error('no state to forward');
  return output;
}

const DEMAND = {
  model: 'm1',
  arrivals: 2,
  promptTokens: 100,
  outputTokens: 10,
  adapters: {a1: 1},
};

beforeEach(() => {
  clock = new VirtualClock();
  demand = new DemandMeter();
  shares = new ShareMeter();
  suspects = new CrashSuspects(clock);
  view = new FleetView(clock, new MemoryLogger());
  ownWork = 0;
  rateLimits = new RunnerRateLimits({
    clock,
    logger: new MemoryLogger(),
    metrics: new Metrics(),
    random: () => 0.5,
  });
  relay = new Relay({
    clock,
    address: OWN.address,
    demand,
    usage: new UsageMeter(),
    shares,
    outcomes: new OutcomeMeter(),
    rateLimits,
    capacities: new RunnerCapacities({
      clock,
      logger: new MemoryLogger(),
      metrics: new Metrics(),
      currentStart: () => undefined,
    }),
    configVersion: () => 9,
    onNewerConfig: () => {},
    suspects,
    replicaList: new ReplicaList(),
    view,
    ownLoad: () => ({
      members: [OWN],
      openWork: {r1: ownWork},
      adaptersInUse: {},
      modelsInUse: {},
      waiting: {},
    }),
    holderAddress: () => HOLDER,
  });
});

describe('Relay', () => {
  // Guards against entries behind a relay that go on using a leaving runner.
  it('forwards that a runner is leaving to its group and to the holder', () => {
    const start = {runnerId: 'r1', bornMs: 5};
    view.onRegistration({
      ...start,
      service: 's',
      address: '127.0.0.1:1',
      failureDomain: 'a',
      slots: 8,
      leaving: false,
      heartbeatNumber: 1,
    });
    relay.noteHolderState(stateOf());
    exchange(inputOf('e1:7', {leavingRunners: [start]}));
    const output = exchange(inputOf('e2:7'));
    expect(output.leavingRunners).toEqual([start]);
    expect(view.departures().leavingRunners).toEqual([start]);
  });

  it('forwards the state with its age and the open work of other entries', async () => {
    // An entry must count the work of each other entry once: the work in the
    // holder's state, of the relay itself, and of the group without the entry.
    relay.noteHolderState(stateOf());
    ownWork = 3;
    exchange(inputOf('e1:7', {openWork: {r1: 5}}));
    await clock.advance(200);
    const output = exchange(inputOf('e2:7', {openWork: {r1: 7}}));
    expect(output.ageMs).toBe(200);
    expect(output.peersWork).toEqual({r1: 18});
    expect(output.copies.runners.map(({runnerId}) => runnerId)).toEqual(['r1']);
    // The next answer contains only changes.
    const {epoch, revision} = output.copies;
    const again = exchange(inputOf('e2:7', {known: {epoch, revision}}));
    expect(again.copies.runners).toEqual([]);
  });

  it('sends the total load of its group until a member times out', async () => {
    relay.noteHolderState(stateOf());
    ownWork = 3;
    exchange(inputOf('e1:7', {openWork: {r1: 5}, waiting: {m1: 2}}));
    const load = relay.groupLoad(OWN);
    expect(load.members.map(({address}) => address)).toEqual([
      OWN.address,
      'e1:7',
    ]);
    expect(load.openWork).toEqual({r1: 8});
    expect(load.waiting).toEqual({m1: 2});
    await clock.advance(1_500);
    expect(relay.groupLoad(OWN).openWork).toEqual({r1: 3});
  });

  // Guards against organisations behind a relay whose demand is not divided.
  it('sums the demand and the backlogs of its group', () => {
    relay.noteHolderState(stateOf());
    const row = {pool: 'p', organisation: 'claims', priority: 1, admitted: 1};
    const progress = {pool: 'p', completed: 2, dropped: 0.5};
    for (const entry of ['e1:7', 'e2:7']) {
      const demandByOrganisation = [{...row, asked: 3}];
      const shared = {demandByOrganisation, poolProgress: [progress]};
      const batch = {batchId: `${entry}#1`, demand: [], ...shared};
      const poolBacklogs = {p: {requests: 1, work: 2, workMs: 1_600}};
      exchange(inputOf(entry, {batch, poolBacklogs}));
    }
    expect(shares.take(0)).toEqual({
      demandByOrganisation: [{...row, asked: 6, admitted: 2}],
      poolProgress: [{pool: 'p', completed: 4, dropped: 1}],
    });
    expect(relay.groupLoad(OWN).poolBacklogs).toEqual({
      p: {requests: 2, work: 4, workMs: 3_200},
    });
  });

  it('counts a resent batch once', () => {
    // An answer is lost, and the entry sends its demand again. If it counted
    // twice, the holder would plan for a burst.
    relay.noteHolderState(stateOf());
    const batch = {batchId: 'e1#5', demand: [DEMAND]};
    exchange(inputOf('e1:7', {batch}));
    exchange(inputOf('e1:7', {batch}));
    expect(demand.take()).toEqual([DEMAND]);
  });

  it('names the holder if it has no recent state', async () => {
    // Otherwise entries behind a relay that can't reach the holder decide by
    // state that is seconds old. With this answer they contact the holder
    // directly.
    expect(relay.exchange(inputOf('e1:7'))).toEqual({
      kind: 'not-holder',
      holderAddress: HOLDER,
    });
    relay.noteHolderState(stateOf());
    await clock.advance(1_000);
    expect(relay.exchange(inputOf('e1:7')).kind).toBe('not-holder');
  });

  it('forwards crash reports and the list of suspects', () => {
    // Otherwise an entry behind a relay never learns that a request crashes
    // runners, and keeps sending it.
    relay.noteHolderState(stateOf());
    const quarantined = [{fingerprint: 'a', quarantinedMs: 5_000}];
    suspects.applyList({epoch: 'h', revision: 3, suspects: quarantined});
    const crashReport = {
      crashes: [{life: 'r1@1', fingerprints: ['b']}],
      served: [],
      trialsOver: [],
      quarantined: [],
    };
    const output = exchange(inputOf('e1:7', {crashes: crashReport}));
    expect(output.suspects?.suspects).toEqual(quarantined);
    expect(suspects.pendingReport()?.crashes).toEqual(crashReport.crashes);
    const known = {epoch: 'h', revision: 3};
    expect(exchange(inputOf('e1:7', {knownSuspects: known})).suspects).toEqual(
      known,
    );
  });

  it('forwards newer versions in both directions', () => {
    relay.noteHolderState(stateOf());
    exchange(inputOf('e1:7', {configVersion: 6, runnersChange: 12}));
    expect(exchange(inputOf('e2:7')).configVersion).toBe(6);
    expect(relay.newestVersions({configVersion: 4, runnersChange: 9})).toEqual({
      configVersion: 6,
      runnersChange: 12,
    });
  });
});

describe('PendingDemand', () => {
  it('returns the same batch until it is acknowledged, and loses no demand', () => {
    // Copies are loaded by demand, so none may be lost. An exchange gets no
    // answer, and its batch is sent again while new demand waits for the next
    // batch.
    const pending = new PendingDemand(
      demand,
      () => [],
      () => [],
      new OutcomeMeter(),
      'e1#0',
    );
    demand.add([DEMAND]);
    const first = pending.nextBatch();
    demand.add([{...DEMAND, model: 'm2'}]);
    expect(pending.nextBatch()).toEqual(first);
    pending.acknowledge();
    const second = pending.nextBatch();
    expect(second.batchId).not.toBe(first.batchId);
    expect(second.demand.map(({model}) => model)).toEqual(['m2']);
  });
});
