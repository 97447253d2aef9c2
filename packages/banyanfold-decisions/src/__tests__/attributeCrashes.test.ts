import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  attributeCrashes,
  type CrashHistory,
} from '../crashes/attributeCrashes.js';

function row(
  fingerprint: string,
  crashes: string[],
  fields: Partial<CrashHistory> = {},
): CrashHistory {
  return {
    fingerprint,
    crashes: new Set(crashes),
    hasCrashedAlone: true,
    unresolvedTrials: 0,
    hasPriorQuarantine: false,
    ...fields,
  };
}

function verdicts(rows: CrashHistory[], unsettled: string[] = []) {
  return Object.fromEntries(
    attributeCrashes(rows, life => !unsettled.includes(life)),
  );
}

describe('attributeCrashes', () => {
  it('lets one crash go by, and suspects from the second on', () => {
    expect(verdicts([row('a', ['1']), row('b', ['1', '2'])])).toEqual({
      b: 'suspect',
    });
  });

  it('blames nobody while two were at the same three runners', () => {
    // Both would be refused, though one of them crashes nothing. What tells them
    // apart is the next run, each by itself.
    const together = [row('a', ['1', '2', '3']), row('b', ['1', '2', '3'])];
    expect(verdicts(together)).toEqual({a: 'suspect', b: 'suspect'});
  });

  it('clears those that only ran beside the one to blame', () => {
    // The guilty one ran by itself and crashed a fourth runner; its companions
    // of the first three are served like all others at once.
    const rows = [
      row('guilty', ['1', '2', '3', '4']),
      row('beside', ['1', '2', '3']),
      row('twice', ['1', '2', '9']),
      row('elsewhere', ['8', '9']),
    ];
    expect(verdicts(rows)).toEqual({
      guilty: 'quarantined',
      elsewhere: 'suspect',
    });
  });

  it('finds two that crash runners by turns', () => {
    const rows = [
      row('a', ['1', '2', '3', '4']),
      row('b', ['3', '5', '6', '7']),
      row('beside both', ['3', '4', '5']),
    ];
    expect(verdicts(rows)).toEqual({a: 'quarantined', b: 'quarantined'});
  });

  it('waits until all entries can have told who was at a runner', () => {
    // The first to tell would be blamed: it tells of the third crash 0.2 s before
    // another entry does, where the one that caused all three was sent from.
    const rows = [row('first to tell', ['1', '2', '3'])];
    expect(verdicts(rows, ['3'])).toEqual({'first to tell': 'suspect'});
  });

  it('keeps one in quarantine while news of late crashes comes in', () => {
    const rows = [row('guilty', ['1', '2', '3', '4', '5'])];
    expect(verdicts(rows, ['5'])).toEqual({guilty: 'quarantined'});
    const known = [row('guilty', [], {hasPriorQuarantine: true})];
    expect(verdicts(known)).toEqual({guilty: 'quarantined'});
  });

  it('blames none that has not crashed a runner by itself', () => {
    // A rack loses power, and with it three runners that had the same popular
    // request; nothing else was at all three of them.
    const popular = row('popular', ['1', '2', '3'], {hasCrashedAlone: false});
    expect(verdicts([popular])).toEqual({popular: 'suspect'});
  });

  it('takes two trials without a result for a proof', () => {
    // Its callers leave before it begins, each time; without an end to it, it
    // would reach runners for ever.
    const rows = [
      row('a', ['1', '2', '3'], {unresolvedTrials: 2}),
      row('b', ['1', '2', '3']),
    ];
    expect(verdicts(rows)).toEqual({a: 'quarantined'});
  });

  it('never blames one that was only at runners that another crashed', () => {
    const lives = fc.uniqueArray(fc.nat(30), {minLength: 4, maxLength: 12});
    const scenario = lives.chain(guilty =>
      fc.record({
        guilty: fc.constant(guilty),
        // Each was at fewer of them, as none of them causes a crash.
        beside: fc.array(fc.subarray(guilty.slice(1)), {maxLength: 20}),
      }),
    );
    fc.assert(
      fc.property(scenario, ({guilty, beside}) => {
        const rows = [
          row('guilty', guilty.map(String)),
          ...beside.map((at, i) => row(`b${i}`, at.map(String))),
        ];
        expect(verdicts(rows)).toEqual({guilty: 'quarantined'});
      }),
      {seed: 7, numRuns: 300},
    );
  });
});
