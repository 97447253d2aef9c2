import {MemoryLogger, Metrics, VirtualClock} from '@banyanfold/core';
import {beforeEach, describe, expect, it} from 'vitest';
import type {CrashReport} from '../crashes/crashContract.js';
import {CrashLedger, QUARANTINE_MS} from '../crashes/crashLedger.js';

const SETTLED_MS = 1_000;

let clock: VirtualClock;
let ledger: CrashLedger;
let quarantined: string[];

beforeEach(() => {
  clock = new VirtualClock();
  quarantined = [];
  ledger = new CrashLedger({
    clock,
    logger: new MemoryLogger(),
    metrics: new Metrics(),
    epoch: 'h1',
    onQuarantine: fingerprint => quarantined.push(fingerprint),
  });
});

function note(news: Partial<CrashReport>): void {
  ledger.addReport({
    crashes: [],
    served: [],
    trialsOver: [],
    quarantined: [],
    ...news,
  });
}

async function crash(life: string, ...fingerprints: string[]): Promise<void> {
  note({crashes: [{life, fingerprints}]});
  await clock.advance(SETTLED_MS);
}

/** Fingerprints of suspects, those in quarantine with a mark. */
function suspects(): string[] {
  const {suspects: rows = []} = ledger.suspectListFor(undefined);
  return rows.map(({fingerprint, quarantinedMs}) =>
    quarantinedMs === undefined ? fingerprint : `${fingerprint}!`,
  );
}

/** It runs by itself, and the runner crashes; `beside` ran there too. */
async function crashAlone(
  fingerprint: string,
  ...beside: string[]
): Promise<void> {
  const {runnerId} = ask(fingerprint);
  await crash(`${runnerId}@${clock.nowMs()}`, fingerprint, ...beside);
}

function ask(fingerprint: string, runnerIds = ['r1', 'r2']) {
  return ledger.permitTrial({fingerprint, runnerIds, forMs: 5_000});
}

describe('CrashLedger', () => {
  it('puts together what several entries tell of one crash', async () => {
    await crash('l1', 'a', 'b');
    note({crashes: [{life: 'l2', fingerprints: ['a']}]});
    await crash('l2', 'b');
    // The same news again, from an entry that got no answer.
    await crash('l2', 'b');
    expect(suspects()).toEqual(['a', 'b']);
    expect(quarantined).toEqual([]);
  });

  it('tells the one to blame from those beside it by one run each', async () => {
    // Three runners crashed under two requests of one model. Both are tried, by
    // themselves; one is answered, and the other crashes a fourth runner.
    for (const life of ['l1', 'l2', 'l3']) await crash(life, 'a', 'b');
    expect(suspects()).toEqual(['a', 'b']);
    expect(ask('a')).toEqual({runnerId: 'r1', reason: 'alone'});
    expect(ask('a')).toEqual({reason: 'under-way'});
    expect(ask('b')).toEqual({runnerId: 'r2', reason: 'alone'});
    expect(suspects()).toEqual(['a', 'b']);
    note({served: ['b']});
    expect(suspects()).toEqual(['a']);
    await crash('r1@1', 'a');
    expect(suspects()).toEqual(['a!']);
    expect(quarantined).toEqual(['a']);
    expect(ask('a')).toEqual({reason: 'quarantined'});
  });

  it('blames nothing for runners that crash together, whatever many sent', async () => {
    // Callers of one popular lookup get 503 for an hour. Three runners lose power
    // at once while each has it, which is no sign that it does anything to them;
    // only a crash in a run by itself is.
    const crashes = ['l1', 'l2', 'l3'].map(life => ({
      life,
      fingerprints: ['popular', `${life}-only`],
    }));
    note({crashes});
    await clock.advance(SETTLED_MS);
    expect(suspects()).toEqual(['popular']);
    expect(ask('popular').runnerId).toBe('r1');
    note({served: ['popular']});
    expect(suspects()).toEqual([]);
  });

  it('judges one under which very many runners crashed', async () => {
    // Sent by all entries in the same moment it crashes twenty runners before any
    // of them hears of another; it must not be tried for ever after.
    for (let i = 0; i < 20; i++) await crash(`l${i}`, 'a');
    await crashAlone('a');
    expect(suspects()).toEqual(['a!']);
  });

  it('clears all that ran beside it with the verdict', async () => {
    for (const life of ['l1', 'l2']) await crash(life, 'a', 'b', 'c');
    expect(suspects()).toEqual(['a', 'b', 'c']);
    await crashAlone('a', 'fresh');
    expect(suspects()).toEqual(['a!']);
  });

  it('lets nothing run on a crash by itself that is not judged yet', () => {
    const lives = ['l1', 'l2'];
    note({crashes: lives.map(life => ({life, fingerprints: ['a']}))});
    expect(ask('a').runnerId).toBe('r1');
    note({crashes: [{life: 'r1@1', fingerprints: ['a']}]});
    expect(ask('a')).toEqual({reason: 'being-judged'});
  });

  it('ends trials of which nothing is heard, and believes two of them', async () => {
    // The entry that had it under trial ended, twice; nobody would tell of it.
    for (const life of ['l1', 'l2', 'l3']) await crash(life, 'a', 'b');
    for (let i = 0; i < 2; i++) {
      expect(ask('a').runnerId).toBe('r1');
      await clock.advance(6_000);
    }
    expect(ask('a')).toEqual({reason: 'quarantined'});
  });

  it('counts no trial that never reached a runner', async () => {
    for (const life of ['l1', 'l2', 'l3']) await crash(life, 'a', 'b');
    for (let i = 0; i < 5; i++) {
      expect(ask('a').runnerId).toBe('r1');
      note({trialsOver: [{fingerprint: 'a', ran: false}]});
    }
    expect(suspects()).toEqual(['a', 'b']);
  });

  it('tells the list only to those that have not heard it', async () => {
    for (const life of ['l1', 'l2']) await crash(life, 'a');
    const {epoch, revision, suspects: rows} = ledger.suspectListFor(undefined);
    expect(rows).toHaveLength(1);
    expect(ledger.suspectListFor({epoch, revision}).suspects).toBeUndefined();
    expect(
      ledger.suspectListFor({epoch: 'h0', revision}).suspects,
    ).toHaveLength(1);
    await crashAlone('a');
    expect(ledger.suspectListFor({epoch, revision}).suspects).toHaveLength(1);
  });

  it('takes over what another holder has found', () => {
    note({quarantined: ['a']});
    note({served: ['a']});
    expect(suspects()).toEqual(['a!']);
  });

  it('tries it once more when its quarantine ends', async () => {
    // A new version of the runners may run it by now. If not, one runner crashes.
    for (const life of ['l1', 'l2']) await crash(life, 'a');
    await crashAlone('a');
    expect(suspects()).toEqual(['a!']);
    await clock.advance(QUARANTINE_MS);
    expect(suspects()).toEqual(['a']);
    await crashAlone('a');
    expect(suspects()).toEqual(['a!']);
  });

  it('stays bounded, and forgets first what says least', async () => {
    for (const life of ['l1', 'l2']) await crash(life, 'guilty');
    await crashAlone('guilty');
    for (let i = 0; i < 30; i++) {
      const fingerprints = Array.from({length: 200}, (_, j) => `f${i}-${j}`);
      await crash(`m${i}`, ...fingerprints);
    }
    await crash('m0', 'f0-0');
    expect(suspects()).toEqual(['guilty!']);
  });
});
