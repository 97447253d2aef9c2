import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  attributeCrashes,
  type CrashHistory,
} from '../crashes/attributeCrashes.js';

function history(
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
    attributeCrashes(rows, incarnation => !unsettled.includes(incarnation)),
  );
}

describe('attributeCrashes', () => {
  it('ignores one crash and suspects from the second on', () => {
    expect(verdicts([history('a', ['1']), history('b', ['1', '2'])])).toEqual({
      b: 'suspect',
    });
  });

  it('quarantines neither of two that were at the same three runners', () => {
    // Guards against quarantining both although only one causes crashes. Their
    // next runs, each in a trial, tell them apart.
    const together = [
      history('a', ['1', '2', '3']),
      history('b', ['1', '2', '3']),
    ];
    expect(verdicts(together)).toEqual({a: 'suspect', b: 'suspect'});
  });

  it('clears requests that only ran beside the cause', () => {
    // Guards against refusing the requests that shared the first three runners
    // with the cause. They are served normally once it has crashed a fourth
    // runner in a trial.
    const rows = [
      history('cause', ['1', '2', '3', '4']),
      history('beside', ['1', '2', '3']),
      history('twice', ['1', '2', '9']),
      history('elsewhere', ['8', '9']),
    ];
    expect(verdicts(rows)).toEqual({
      cause: 'quarantined',
      elsewhere: 'suspect',
    });
  });

  it('finds two causes that crash runners in turn', () => {
    const rows = [
      history('a', ['1', '2', '3', '4']),
      history('b', ['3', '5', '6', '7']),
      history('beside both', ['3', '4', '5']),
    ];
    expect(verdicts(rows)).toEqual({a: 'quarantined', b: 'quarantined'});
  });

  it('waits until all entries have reported which requests were at a runner', () => {
    // Guards against quarantining the request that is reported first. Another
    // entry, which sent the actual cause, reports the third crash 0.2 s later.
    const rows = [history('reported first', ['1', '2', '3'])];
    expect(verdicts(rows, ['3'])).toEqual({'reported first': 'suspect'});
  });

  it('keeps a request in quarantine while later crashes are reported', () => {
    const rows = [history('cause', ['1', '2', '3', '4', '5'])];
    expect(verdicts(rows, ['5'])).toEqual({cause: 'quarantined'});
    const known = [history('cause', [], {hasPriorQuarantine: true})];
    expect(verdicts(known)).toEqual({cause: 'quarantined'});
  });

  it('does not quarantine a request that crashed no runner in a trial', () => {
    // Guards against quarantining a popular request when a rack loses power and
    // three runners that had it fail. No other request was at all three of
    // them.
    const popular = history('popular', ['1', '2', '3'], {
      hasCrashedAlone: false,
    });
    expect(verdicts([popular])).toEqual({popular: 'suspect'});
  });

  it('treats two trials without a result as proof', () => {
    // Guards against a request that reaches runners forever because its callers
    // leave before each trial begins.
    const rows = [
      history('a', ['1', '2', '3'], {unresolvedTrials: 2}),
      history('b', ['1', '2', '3']),
    ];
    expect(verdicts(rows)).toEqual({a: 'quarantined'});
  });

  it('never quarantines a request that only ran beside the cause', () => {
    const incarnations = fc.uniqueArray(fc.nat(30), {
      minLength: 4,
      maxLength: 12,
    });
    const scenario = incarnations.chain(cause =>
      fc.record({
        cause: fc.constant(cause),
        // Each of them missed at least one crash, because none of them causes
        // crashes.
        beside: fc.array(fc.subarray(cause.slice(1)), {maxLength: 20}),
      }),
    );
    fc.assert(
      fc.property(scenario, ({cause, beside}) => {
        const rows = [
          history('cause', cause.map(String)),
          ...beside.map((at, i) => history(`b${i}`, at.map(String))),
        ];
        expect(verdicts(rows)).toEqual({cause: 'quarantined'});
      }),
      {seed: 7, numRuns: 300},
    );
  });
});
