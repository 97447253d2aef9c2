import {MemoryLogger, Metrics, VirtualClock} from '@banyanfold/core';
import {beforeEach, describe, expect, it} from 'vitest';
import type {CrashReport} from '../crashes/crashContract.js';
import {CrashLedger, QUARANTINE_MS} from '../crashes/crashLedger.js';

const FULLY_REPORTED_MS = 1_000;

let clock: VirtualClock;
let ledger: CrashLedger;
let quarantined: string[];
let released: string[];

beforeEach(() => {
  clock = new VirtualClock();
  quarantined = [];
  released = [];
  ledger = new CrashLedger({
    clock,
    logger: new MemoryLogger(),
    metrics: new Metrics(),
    epoch: 'h1',
    onQuarantine: fingerprint => quarantined.push(fingerprint),
    onRelease: key => released.push(key),
  });
});

function report(fields: Partial<CrashReport>): void {
  ledger.addReport({
    crashes: [],
    served: [],
    trialsOver: [],
    quarantined: [],
    ...fields,
  });
}

async function reportCrash(
  crashId: string,
  ...fingerprints: string[]
): Promise<void> {
  report({crashes: [{life: crashId, fingerprints}]});
  await clock.advance(FULLY_REPORTED_MS);
}

/** Fingerprints of suspects; quarantined ones end with `!`. */
function suspects(): string[] {
  const {suspects: rows = []} = ledger.suspectListFor(undefined);
  return rows.map(({fingerprint, quarantinedMs}) =>
    quarantinedMs === undefined ? fingerprint : `${fingerprint}!`,
  );
}

/**
 * Runs a trial in which the runner crashes; `others` were at that runner too.
 */
async function crashInTrial(
  fingerprint: string,
  ...others: string[]
): Promise<void> {
  const {runnerId} = requestTrial(fingerprint);
  await reportCrash(`${runnerId}@${clock.nowMs()}`, fingerprint, ...others);
}

function requestTrial(fingerprint: string, runnerIds = ['r1', 'r2']) {
  return ledger.permitTrial({fingerprint, runnerIds, forMs: 5_000});
}

describe('CrashLedger', () => {
  it('merges the reports of several entries on one crash', async () => {
    await reportCrash('l1', 'a', 'b');
    report({crashes: [{life: 'l2', fingerprints: ['a']}]});
    await reportCrash('l2', 'b');
    // The same report again, from an entry that got no answer.
    await reportCrash('l2', 'b');
    expect(suspects()).toEqual(['a', 'b']);
    expect(quarantined).toEqual([]);
  });

  it('identifies the cause among concurrent requests by one trial each', async () => {
    // Three runners crashed with the same two requests of one model. In
    // separate trials one of them is answered, and the other crashes a fourth
    // runner.
    for (const id of ['l1', 'l2', 'l3']) await reportCrash(id, 'a', 'b');
    expect(suspects()).toEqual(['a', 'b']);
    expect(requestTrial('a')).toEqual({runnerId: 'r1', reason: 'alone'});
    expect(requestTrial('a')).toEqual({reason: 'under-way'});
    expect(requestTrial('b')).toEqual({runnerId: 'r2', reason: 'alone'});
    expect(suspects()).toEqual(['a', 'b']);
    report({served: ['b']});
    expect(suspects()).toEqual(['a']);
    await reportCrash('r1@1', 'a');
    expect(suspects()).toEqual(['a!']);
    expect(quarantined).toEqual(['a']);
    expect(requestTrial('a')).toEqual({reason: 'quarantined'});
  });

  it('quarantines no request because runners crash at the same time', async () => {
    // Otherwise, callers of a popular request get 503 for an hour. Three
    // runners lose power at once while each runs it, which doesn't show that it
    // caused the crashes; only a crash in a trial does.
    const crashes = ['l1', 'l2', 'l3'].map(crashId => ({
      life: crashId,
      fingerprints: ['popular', `${crashId}-only`],
    }));
    report({crashes});
    await clock.advance(FULLY_REPORTED_MS);
    expect(suspects()).toEqual(['popular']);
    expect(requestTrial('popular').runnerId).toBe('r1');
    report({served: ['popular']});
    expect(suspects()).toEqual([]);
  });

  it('quarantines a request with more crashes than a row holds', async () => {
    // All entries send the request at the same moment, and it crashes twenty
    // runners before any entry learns of another crash. Trials must not repeat
    // forever.
    for (let i = 0; i < 20; i++) await reportCrash(`l${i}`, 'a');
    await crashInTrial('a');
    expect(suspects()).toEqual(['a!']);
  });

  it('clears the requests that ran with a quarantined one', async () => {
    for (const id of ['l1', 'l2']) await reportCrash(id, 'a', 'b', 'c');
    expect(suspects()).toEqual(['a', 'b', 'c']);
    await crashInTrial('a', 'fresh');
    expect(suspects()).toEqual(['a!']);
  });

  it('permits no trial while a crash in a trial is not judged yet', () => {
    const crashIds = ['l1', 'l2'];
    report({
      crashes: crashIds.map(crashId => ({life: crashId, fingerprints: ['a']})),
    });
    expect(requestTrial('a').runnerId).toBe('r1');
    report({crashes: [{life: 'r1@1', fingerprints: ['a']}]});
    expect(requestTrial('a')).toEqual({reason: 'being-judged'});
  });

  it('expires trials without a result, and quarantines after two', async () => {
    // Twice, the entry that ran the trial ended, so no result is reported.
    for (const id of ['l1', 'l2', 'l3']) await reportCrash(id, 'a', 'b');
    for (let i = 0; i < 2; i++) {
      expect(requestTrial('a').runnerId).toBe('r1');
      await clock.advance(6_000);
    }
    expect(requestTrial('a')).toEqual({reason: 'quarantined'});
  });

  // Guards against refusing what sound requests share, and against runners that
  // crash on and on under a part that was sound before.
  it('quarantines what was answered before after two crashes in trials', async () => {
    for (const life of ['l1', 'l2']) {
      report({crashes: [{life, fingerprints: ['a'], answered: ['a']}]});
    }
    await clock.advance(2 * FULLY_REPORTED_MS);
    expect(suspects()).toEqual(['a']);
    await crashInTrial('a');
    expect(suspects()).toEqual(['a']);
    await crashInTrial('a');
    expect(suspects()).toEqual(['a!']);
  });

  it('does not count trials that never reached a runner', async () => {
    for (const id of ['l1', 'l2', 'l3']) await reportCrash(id, 'a', 'b');
    for (let i = 0; i < 5; i++) {
      expect(requestTrial('a').runnerId).toBe('r1');
      report({trialsOver: [{fingerprint: 'a', ran: false}]});
    }
    expect(suspects()).toEqual(['a', 'b']);
  });

  it('sends the list only to entries that lack the current revision', async () => {
    for (const id of ['l1', 'l2']) await reportCrash(id, 'a');
    const {epoch, revision, suspects: rows} = ledger.suspectListFor(undefined);
    expect(rows).toHaveLength(1);
    expect(ledger.suspectListFor({epoch, revision}).suspects).toBeUndefined();
    expect(
      ledger.suspectListFor({epoch: 'h0', revision}).suspects,
    ).toHaveLength(1);
    await crashInTrial('a');
    expect(ledger.suspectListFor({epoch, revision}).suspects).toHaveLength(1);
  });

  it('adopts the quarantine of a former holder', () => {
    report({quarantined: ['a']});
    report({served: ['a']});
    expect(suspects()).toEqual(['a!']);
  });

  it('permits another trial when a quarantine ends', async () => {
    // A new version of the runners may handle it. If not, one more runner
    // crashes.
    for (const id of ['l1', 'l2']) await reportCrash(id, 'a');
    await crashInTrial('a');
    expect(suspects()).toEqual(['a!']);
    await clock.advance(QUARANTINE_MS);
    expect(suspects()).toEqual(['a']);
    await crashInTrial('a');
    expect(suspects()).toEqual(['a!']);
  });

  it('is bounded, and evicts the rows with the fewest crashes first', async () => {
    for (const id of ['l1', 'l2']) await reportCrash(id, 'crasher');
    await crashInTrial('crasher');
    for (let i = 0; i < 30; i++) {
      const fingerprints = Array.from({length: 200}, (_, j) => `f${i}-${j}`);
      await reportCrash(`m${i}`, ...fingerprints);
    }
    await reportCrash('m0', 'f0-0');
    expect(suspects()).toEqual(['crasher!']);
  });

  describe('with prompt parts', () => {
    it('quarantines the part that requests have in common', async () => {
      // Guards against a crash for each request, as no two are the same.
      for (const i of [1, 2]) {
        await reportCrash(`l${i}`, `f${i}`, 'part/shared', 'part/bad');
        report({served: ['part/shared']});
      }
      expect(suspects()).toEqual(['part/bad']);
      await crashInTrial('part/bad', 'f3', 'part/shared');
      expect(suspects()).toEqual(['part/bad!']);
      expect(quarantined).toEqual(['part/bad']);
    });

    it('tells the bad part from one that was answered before', async () => {
      // All crashes come before the next answer on the shared part.
      report({
        crashes: ['l1', 'l2', 'l3', 'l4'].map(life => ({
          life,
          fingerprints: ['part/shared', 'part/bad'],
          answered: ['part/shared'],
        })),
      });
      expect(suspects()).toEqual(['part/bad']);
      await clock.advance(FULLY_REPORTED_MS);
      await crashInTrial('part/bad', 'part/shared');
      expect(suspects()).toContain('part/bad!');
      report({served: ['part/shared']});
      expect(suspects()).toEqual(['part/bad!']);
    });

    it('suspects a part that is answered no more', async () => {
      report({
        crashes: ['l1', 'l2'].map(life => ({
          life,
          fingerprints: ['part/turned-bad'],
          answered: ['part/turned-bad'],
        })),
      });
      expect(suspects()).toEqual([]);
      await clock.advance(1_500);
      expect(suspects()).toEqual(['part/turned-bad']);
    });

    it('tells two parts of the same requests apart by an answer', async () => {
      for (const id of ['l1', 'l2']) await reportCrash(id, 'part/a', 'part/b');
      await crashInTrial('part/a+part/b', 'part/a', 'part/b');
      expect(suspects()).toEqual(['part/a+part/b!', 'part/a', 'part/b']);
      expect(requestTrial('part/b').runnerId).toBeDefined();
      report({served: ['part/b']});
      expect(suspects()).toEqual(['part/a!']);
      expect(released).toEqual(['part/a+part/b']);
      expect(quarantined).toEqual(['part/a+part/b', 'part/a']);
    });

    it('narrows a combination of a former holder by an answer', () => {
      report({quarantined: ['part/a+part/b']});
      expect(suspects()).toEqual(['part/a+part/b!', 'part/a', 'part/b']);
      report({served: ['part/b']});
      expect(suspects()).toEqual(['part/a!']);
    });

    it('releases what a late report explains otherwise', async () => {
      // The entry whose request crashed the runners reports a second later.
      for (const id of ['l1', 'l2']) await reportCrash(id, 'beside');
      await crashInTrial('beside');
      expect(suspects()).toEqual(['beside!']);
      const {runnerId} = requestTrial('other');
      expect(runnerId).toBeDefined();
      for (const life of ['l1', 'l2', 'r1@2000']) {
        report({crashes: [{life, fingerprints: ['part/bad']}]});
      }
      expect(released).toEqual([]);
      expect(suspects()).toEqual(['beside', 'part/bad']);
      expect(released).toEqual(['beside']);
    });

    it('finds two bad parts at the same time', async () => {
      for (const id of ['l1', 'l2']) await reportCrash(id, 'part/a', 'f1');
      for (const id of ['l3', 'l4']) await reportCrash(id, 'part/b', 'f2');
      report({served: ['f1', 'f2']});
      expect(requestTrial('part/a').runnerId).toBe('r1');
      expect(requestTrial('part/b').runnerId).toBe('r2');
      await reportCrash('r1@9', 'part/a');
      await reportCrash('r2@9', 'part/b');
      expect(suspects()).toEqual(['part/a!', 'part/b!']);
    });

    // Guards against a rack without power that blames each rare part it had.
    it('clears a rare part by one trial after runners failed together', async () => {
      report({
        crashes: ['l1', 'l2', 'l3', 'l4'].map(life => ({
          life,
          fingerprints: ['part/rare'],
        })),
      });
      await clock.advance(FULLY_REPORTED_MS);
      expect(suspects()).toEqual(['part/rare']);
      expect(requestTrial('part/rare').runnerId).toBe('r1');
      report({
        served: ['part/rare'],
        trialsOver: [{fingerprint: 'part/rare', ran: false}],
      });
      expect(suspects()).toEqual([]);
      expect(quarantined).toEqual([]);
    });

    it('tells entries for a minute that a runner has crashed', async () => {
      expect(ledger.suspectListFor(undefined).crashedAgoMs).toBeUndefined();
      report({crashes: [{life: 'l1', fingerprints: []}]});
      await clock.advance(40_000);
      expect(ledger.suspectListFor(undefined).crashedAgoMs).toBe(40_000);
      await clock.advance(20_001);
      expect(ledger.suspectListFor(undefined).crashedAgoMs).toBeUndefined();
    });

    it('lists at most 200 suspects, those with most crashes', async () => {
      const many = Array.from({length: 500}, (_, i) => `part/${i}`);
      for (const id of ['l1', 'l2']) await reportCrash(id, ...many);
      await reportCrash('l3', 'part/499');
      expect(suspects()).toHaveLength(200);
      expect(suspects()[0]).toBe('part/499');
    });
  });
});
