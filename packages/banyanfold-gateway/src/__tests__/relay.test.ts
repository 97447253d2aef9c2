import {MemoryLogger, Metrics, VirtualClock} from '@banyanfold/core';
import {beforeEach, describe, expect, it} from 'vitest';
import {UsageMeter} from '../callers/usageMeter.js';
import {CrashSuspects} from '../crashes/crashSuspects.js';
import type {ExchangeInput, ExchangeOutput} from '../peers/peerContract.js';
import {Relay} from '../peers/relay.js';
import {RunnerRateLimits} from '../runners/runnerRateLimits.js';
import {OutcomeMeter} from '../runners/outcomeMeter.js';
import {PendingDemand} from '../peers/pendingDemand.js';
import {DemandMeter} from '../placement/demandMeter.js';

const OWN = {address: 'relay:7', failureDomain: 'a', processorShare: 1};
const HOLDER = 'holder:7';

let clock: VirtualClock;
let demand: DemandMeter;
let relay: Relay;
let rateLimits: RunnerRateLimits;
let suspects: CrashSuspects;
let ownWork: number;

function wordOf(fields: Partial<ExchangeOutput> = {}): ExchangeOutput {
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

function told(input: ExchangeInput): ExchangeOutput {
  const output = relay.exchange(input);
  if (output.kind !== 'told') throw new Error('not told');
  return output;
}

const ASKED = {
  model: 'm1',
  arrivals: 2,
  promptTokens: 100,
  outputTokens: 10,
  adapters: {a1: 1},
};

beforeEach(() => {
  clock = new VirtualClock();
  demand = new DemandMeter();
  suspects = new CrashSuspects(clock);
  ownWork = 0;
  rateLimits = new RunnerRateLimits({
    clock,
    logger: new MemoryLogger(),
    metrics: new Metrics(),
    random: () => 0.5,
    entries: () => 3,
  });
  relay = new Relay({
    clock,
    address: OWN.address,
    demand,
    usage: new UsageMeter(),
    outcomes: new OutcomeMeter(),
    rateLimits,
    configVersion: () => 9,
    onNewerConfig: () => {},
    suspects,
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
  it('passes the word on with its age, and what is open elsewhere', async () => {
    // An entry sees the work of all others once: that of the holder's word, of
    // the relay itself, and of its group, but for its own.
    relay.noteHolderState(wordOf());
    ownWork = 3;
    told(inputOf('e1:7', {openWork: {r1: 5}}));
    await clock.advance(200);
    const output = told(inputOf('e2:7', {openWork: {r1: 7}}));
    expect(output.ageMs).toBe(200);
    expect(output.peersWork).toEqual({r1: 18});
    expect(output.copies.runners.map(({runnerId}) => runnerId)).toEqual(['r1']);
    // Told again only what has changed since.
    const {epoch, revision} = output.copies;
    const again = told(inputOf('e2:7', {known: {epoch, revision}}));
    expect(again.copies.runners).toEqual([]);
  });

  it('tells the holder the sum of its group, until a member falls silent', async () => {
    relay.noteHolderState(wordOf());
    ownWork = 3;
    told(inputOf('e1:7', {openWork: {r1: 5}, waiting: {m1: 2}}));
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

  it('counts a batch once that was sent again', () => {
    // The holder would plan for a burst: an answer was lost, and the entry sends
    // its demand a second time.
    relay.noteHolderState(wordOf());
    const batch = {batchId: 'e1#5', demand: [ASKED]};
    told(inputOf('e1:7', {batch}));
    told(inputOf('e1:7', {batch}));
    expect(demand.take()).toEqual([ASKED]);
  });

  it('says that it has no word when the holder was silent for long', async () => {
    // Entries behind a relay that is cut off from the holder would decide by
    // what was known seconds ago; told so, they ask the holder themselves.
    expect(relay.exchange(inputOf('e1:7'))).toEqual({
      kind: 'not-holder',
      holderAddress: HOLDER,
    });
    relay.noteHolderState(wordOf());
    await clock.advance(1_000);
    expect(relay.exchange(inputOf('e1:7')).kind).toBe('not-holder');
  });

  it('passes on who was at runners that crashed, and who is a suspect', () => {
    // Behind a relay an entry would never hear that a request crashes runners, and
    // send it on.
    relay.noteHolderState(wordOf());
    const quarantined = [{fingerprint: 'a', quarantinedMs: 5_000}];
    suspects.applyList({epoch: 'h', revision: 3, suspects: quarantined});
    const news = {
      crashes: [{life: 'r1@1', fingerprints: ['b']}],
      served: [],
      trialsOver: [],
      quarantined: [],
    };
    const output = told(inputOf('e1:7', {crashes: news}));
    expect(output.suspects?.suspects).toEqual(quarantined);
    expect(suspects.pendingReport()?.crashes).toEqual(news.crashes);
    const known = {epoch: 'h', revision: 3};
    expect(told(inputOf('e1:7', {knownSuspects: known})).suspects).toEqual(
      known,
    );
  });

  it('passes newer versions on, both ways', () => {
    relay.noteHolderState(wordOf());
    told(inputOf('e1:7', {configVersion: 6, runnersChange: 12}));
    expect(told(inputOf('e2:7')).configVersion).toBe(6);
    expect(relay.newestVersions({configVersion: 4, runnersChange: 9})).toEqual({
      configVersion: 6,
      runnersChange: 12,
    });
  });
});

describe('PendingDemand', () => {
  it('sends the same batch until it is answered, and loses nothing', () => {
    // Copies come for what callers ask: an exchange gets no answer, and what it
    // carried is sent again while new demand waits for the next one.
    const unanswered = new PendingDemand(
      demand,
      () => [],
      () => [],
      new OutcomeMeter(),
      'e1#0',
    );
    demand.add([ASKED]);
    const first = unanswered.nextBatch();
    demand.add([{...ASKED, model: 'm2'}]);
    expect(unanswered.nextBatch()).toEqual(first);
    unanswered.acknowledge();
    const second = unanswered.nextBatch();
    expect(second.batchId).not.toBe(first.batchId);
    expect(second.demand.map(({model}) => model)).toEqual(['m2']);
  });
});
