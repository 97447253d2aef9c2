import {VirtualClock} from '@banyanfold/core';
import {beforeEach, describe, expect, it} from 'vitest';
import type {SuspectList} from '../crashes/crashContract.js';
import {CrashSuspects} from '../crashes/crashSuspects.js';

let clock: VirtualClock;
let suspects: CrashSuspects;

beforeEach(() => {
  clock = new VirtualClock();
  suspects = new CrashSuspects(clock);
});

function told(revision: number, ...rows: string[]): SuspectList {
  return {
    epoch: 'h1',
    revision,
    suspects: rows.map(row => ({
      fingerprint: row.replace('!', ''),
      quarantinedMs: row.endsWith('!') ? 60_000 : undefined,
    })),
  };
}

describe('CrashSuspects', () => {
  it('goes by what it saw itself until the holder has judged it', async () => {
    // The next sending comes 20 ms after the second crash; the holder's word takes
    // longer. A second later that word holds, whatever was seen here.
    suspects.noteCrash({crashId: 'l1', fingerprints: ['a', 'b']});
    expect(suspects.verdictOf('a')).toBeUndefined();
    suspects.noteCrash({crashId: 'l2', fingerprints: ['a']});
    expect(suspects.verdictOf('a')).toBe('suspect');
    expect(suspects.verdictOf('b')).toBeUndefined();
    suspects.applyList(told(1));
    expect(suspects.verdictOf('a')).toBe('suspect');
    await clock.advance(1_500);
    suspects.applyList(told(2));
    expect(suspects.verdictOf('a')).toBeUndefined();
  });

  it('goes by the last word while no holder is heard', async () => {
    suspects.applyList(told(1, 'a!', 'b'));
    await clock.advance(30_000);
    expect(suspects.verdictOf('a')).toBe('quarantined');
    expect(suspects.quarantinedForMs('a')).toBe(30_000);
    expect(suspects.verdictOf('b')).toBe('suspect');
  });

  it('tells all until it is answered, also for others', () => {
    suspects.noteCrash({crashId: 'l1', fingerprints: ['a']});
    const first = suspects.pendingReport();
    suspects.forward({
      crashes: [{life: 'l1', fingerprints: ['b']}],
      served: ['c'],
      trialsOver: [],
      quarantined: [],
    });
    expect(suspects.pendingReport()?.crashes).toHaveLength(2);
    suspects.acknowledge();
    expect(suspects.pendingReport()).toBeUndefined();
    expect(first?.crashes).toEqual([{life: 'l1', fingerprints: ['a']}]);
  });

  it('tells a new holder what the last one knew', async () => {
    // Three runners crashed under a request before the holder was lost. Untold,
    // the next holder would let it crash three more, and so would its word before
    // it has heard.
    suspects.noteCrash({crashId: 'l1', fingerprints: ['a']});
    suspects.applyList(told(1, 'guilty!', 'mere'));
    suspects.pendingReport();
    suspects.acknowledge();
    suspects.applyList({...told(1), epoch: 'h2'});
    expect(suspects.pendingReport()).toEqual({
      crashes: [{life: 'l1', fingerprints: ['a']}],
      served: [],
      trialsOver: [],
      quarantined: ['guilty'],
    });
    expect(suspects.verdictOf('guilty')).toBe('quarantined');
    await clock.advance(3_000);
    expect(suspects.verdictOf('guilty')).toBeUndefined();
  });

  it('goes by the store from its start on, until a holder has heard', async () => {
    suspects.noteStoredQuarantine(new Map([['a', 60_000]]));
    await clock.advance(20_000);
    expect(suspects.verdictOf('a')).toBe('quarantined');
    expect(suspects.quarantinedForMs('a')).toBe(40_000);
    expect(suspects.pendingReport()?.quarantined).toEqual(['a']);
    suspects.applyList(told(1));
    expect(suspects.verdictOf('a')).toBe('quarantined');
    suspects.applyList(told(2, 'a!'));
    await clock.advance(3_000);
    expect(suspects.verdictOf('a')).toBe('quarantined');
  });

  it('tells of an answer only where there was a suspicion', () => {
    suspects.noteServed('a');
    expect(suspects.pendingReport()).toBeUndefined();
    suspects.noteCrash({crashId: 'l1', fingerprints: ['a']});
    suspects.noteServed('a');
    suspects.noteServed('a');
    expect(suspects.pendingReport()?.served).toEqual(['a']);
  });

  it('passes the word on, the list only where it is new', () => {
    expect(suspects.suspectListFor(undefined)).toBeUndefined();
    suspects.applyList(told(4, 'a!', 'b'));
    expect(suspects.suspectListFor(undefined)).toEqual(told(4, 'a!', 'b'));
    const known = {epoch: 'h1', revision: 4};
    expect(suspects.suspectListFor(known)).toEqual(known);
  });
});
