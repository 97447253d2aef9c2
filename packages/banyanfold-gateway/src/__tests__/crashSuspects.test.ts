import {VirtualClock} from '@banyanfold/core';
import {beforeEach, describe, expect, it} from 'vitest';
import type {SuspectList} from '../crashes/crashContract.js';
import {AnsweredParts} from '../crashes/answeredParts.js';
import {CrashSuspects} from '../crashes/crashSuspects.js';

let clock: VirtualClock;
let suspects: CrashSuspects;

beforeEach(() => {
  clock = new VirtualClock();
  suspects = new CrashSuspects(clock);
});

function suspectList(revision: number, ...rows: string[]): SuspectList {
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
  it('uses local crashes until the holder has judged them', async () => {
    // The request may be sent again 20 ms after the second crash, before the
    // holder's verdict arrives. One second later that verdict overrides local
    // crashes.
    suspects.noteCrash({crashId: 'l1', fingerprints: ['a', 'b']});
    expect(suspects.verdictOf(['a'])).toBeUndefined();
    suspects.noteCrash({crashId: 'l2', fingerprints: ['a']});
    expect(suspects.verdictOf(['a'])).toBe('suspect');
    expect(suspects.verdictOf(['b'])).toBeUndefined();
    suspects.applyList(suspectList(1));
    expect(suspects.verdictOf(['a'])).toBe('suspect');
    await clock.advance(1_500);
    suspects.applyList(suspectList(2));
    expect(suspects.verdictOf(['a'])).toBeUndefined();
  });

  // Guards against a request that is a suspect after a single crash.
  it('counts a crash under two requests of one fingerprint once', () => {
    suspects.noteCrash({crashId: 'l1', fingerprints: ['a', 'a']});
    suspects.noteCrash({crashId: 'l1', fingerprints: ['a']});
    expect(suspects.verdictOf(['a'])).toBeUndefined();
  });

  it('uses the last list while no holder is reachable', async () => {
    suspects.applyList(suspectList(1, 'a!', 'b'));
    await clock.advance(30_000);
    expect(suspects.verdictOf(['a'])).toBe('quarantined');
    expect(suspects.quarantineOf(['a'])?.forMs).toBe(30_000);
    expect(suspects.verdictOf(['b'])).toBe('suspect');
  });

  it('reports crashes, also those of other entries, until acknowledged', () => {
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

  it('reports to a new holder what its predecessor knew', async () => {
    // A request crashed three runners before the holder was lost. If this isn't
    // reported, the next holder lets it crash three more. The same happens if
    // the next holder's list applies before that holder has received the
    // reports.
    suspects.noteCrash({crashId: 'l1', fingerprints: ['a']});
    suspects.applyList(suspectList(1, 'crasher!', 'suspect'));
    suspects.pendingReport();
    suspects.acknowledge();
    suspects.applyList({...suspectList(1), epoch: 'h2'});
    expect(suspects.pendingReport()).toEqual({
      crashes: [{life: 'l1', fingerprints: ['a']}],
      served: [],
      trialsOver: [],
      quarantined: ['crasher'],
    });
    expect(suspects.verdictOf(['crasher'])).toBe('quarantined');
    await clock.advance(3_000);
    expect(suspects.verdictOf(['crasher'])).toBeUndefined();
  });

  it('uses the stored quarantine until a holder has received it', async () => {
    suspects.noteStoredQuarantine(new Map([['a', 60_000]]));
    await clock.advance(20_000);
    expect(suspects.verdictOf(['a'])).toBe('quarantined');
    expect(suspects.quarantineOf(['a'])?.forMs).toBe(40_000);
    expect(suspects.pendingReport()?.quarantined).toEqual(['a']);
    suspects.applyList(suspectList(1));
    expect(suspects.verdictOf(['a'])).toBe('quarantined');
    suspects.applyList(suspectList(2, 'a!'));
    await clock.advance(3_000);
    expect(suspects.verdictOf(['a'])).toBe('quarantined');
  });

  it('reports an answer only for a request with crashes', () => {
    suspects.noteServed(['a']);
    expect(suspects.pendingReport()).toBeUndefined();
    suspects.noteCrash({crashId: 'l1', fingerprints: ['a']});
    suspects.noteServed(['a']);
    suspects.noteServed(['a']);
    expect(suspects.pendingReport()?.served).toEqual(['a']);
  });

  it('forwards the list only to entries that lack its revision', () => {
    expect(suspects.suspectListFor(undefined)).toBeUndefined();
    suspects.applyList(suspectList(4, 'a!', 'b'));
    expect(suspects.suspectListFor(undefined)).toEqual(
      suspectList(4, 'a!', 'b'),
    );
    const known = {epoch: 'h1', revision: 4};
    expect(suspects.suspectListFor(known)).toEqual(known);
  });

  describe('for prompt parts', () => {
    it('judges a request by any of its fingerprints', () => {
      suspects.applyList(suspectList(1, 'part/bad!', 'part/odd'));
      expect(suspects.verdictOf(['f1', 'part/good'])).toBeUndefined();
      expect(suspects.verdictOf(['f1', 'part/odd'])).toBe('suspect');
      expect(suspects.verdictOf(['f1', 'part/odd', 'part/bad'])).toBe(
        'quarantined',
      );
      expect(suspects.suspectsAmong(['f1', 'part/odd', 'part/good'])).toEqual([
        'part/odd',
      ]);
    });

    it('refuses a combination only if a request has all of it', () => {
      suspects.applyList(suspectList(1, 'part/a+part/b!', 'part/a', 'part/b'));
      expect(suspects.verdictOf(['f1', 'part/a'])).toBe('suspect');
      expect(suspects.verdictOf(['part/b', 'part/c', 'part/a'])).toBe(
        'quarantined',
      );
      expect(suspects.quarantineOf(['part/a', 'part/b'])).toEqual({
        key: 'part/a+part/b',
        forMs: 60_000,
      });
    });

    // Guards against holding back the parts that sound requests share.
    it('does not suspect a part at once that was answered shortly before', async () => {
      suspects.applyList(suspectList(1));
      suspects.noteServed(['f0', 'part/shared']);
      for (const crashId of ['l1', 'l2', 'l3']) {
        suspects.noteCrash({
          crashId,
          fingerprints: ['part/shared', 'part/bad'],
        });
      }
      expect(suspects.suspectsAmong(['part/shared', 'part/bad'])).toEqual([
        'part/bad',
      ]);
      expect(suspects.pendingReport()?.crashes[0]).toEqual({
        life: 'l1',
        fingerprints: ['part/shared', 'part/bad'],
        answered: ['part/shared'],
      });
      await clock.advance(1_500);
      suspects.noteCrash({crashId: 'l4', fingerprints: ['part/shared']});
      expect(suspects.suspectsAmong(['part/shared'])).toEqual(['part/shared']);
    });

    // Guards against a crash more at each entry while nobody counts them.
    it('suspects a part from its first crash without a holder', async () => {
      suspects.applyList(suspectList(1));
      await clock.advance(1_500);
      suspects.noteCrash({crashId: 'l1', fingerprints: ['f1', 'part/bad']});
      expect(suspects.suspectsAmong(['f1', 'part/bad'])).toEqual(['part/bad']);
    });

    it('reports a suspect that was answered after its last crash', async () => {
      const answeredParts = new AnsweredParts(clock);
      suspects = new CrashSuspects(clock, answeredParts);
      await clock.advance(1_000);
      suspects.noteServed(['part/a', 'part/b']);
      await clock.advance(200);
      suspects.applyList({
        epoch: 'h1',
        revision: 1,
        suspects: [
          {fingerprint: 'part/a', crashedAgoMs: 300},
          {fingerprint: 'part/b', crashedAgoMs: 100},
        ],
      });
      expect(suspects.pendingReport()?.served).toEqual(['part/a']);
      expect(suspects.suspectsAmong(['part/a', 'part/b'])).toEqual(['part/b']);
    });

    it('reports an answer to what is quarantined', () => {
      suspects.applyList(suspectList(1, 'part/a!'));
      suspects.noteServed(['f1', 'part/a']);
      expect(suspects.pendingReport()?.served).toEqual(['part/a']);
      expect(suspects.verdictOf(['part/a'])).toBe('quarantined');
    });
  });

  // Guards against messages in a fleet whose runners are sound.
  it('sends nothing where no runner crashes', async () => {
    suspects.onReport = () => expect.unreachable();
    for (let i = 0; i < 1_000; i++) {
      suspects.noteServed([`f${i}`, 'part/a', `part/${i % 7}`]);
      await clock.advance(50);
      suspects.applyList({epoch: 'h1', revision: 0, suspects: []});
      expect(suspects.pendingReport()).toBeUndefined();
    }
    expect(suspects.suspectListFor({epoch: 'h1', revision: 0})).toEqual({
      epoch: 'h1',
      revision: 0,
    });
  });

  it('is alerted for a minute after a crash that the holder tells of', async () => {
    suspects.applyList({...suspectList(1), crashedAgoMs: 20_000});
    expect(suspects.isAlerted).toBe(true);
    await clock.advance(40_001);
    expect(suspects.isAlerted).toBe(false);
  });
});
