import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  attributeCrashes,
  type CrashHistory,
  type TrialCrash,
} from '../crashes/attributeCrashes.js';

interface Row extends CrashHistory {
  /** Whether the last of its crashes was in a trial of it alone. */
  hasCrashedAlone: boolean;
  hasPriorQuarantine: boolean;
}

function history(
  fingerprint: string,
  crashes: string[],
  fields: Partial<Row> = {},
): Row {
  return {
    fingerprint,
    crashes: new Set(crashes),
    wasAnswered: false,
    crashingForMs: 1_000,
    unresolvedTrials: 0,
    hasCrashedAlone: true,
    hasPriorQuarantine: false,
    ...fields,
  };
}

function verdicts(
  rows: Row[],
  unsettled: string[] = [],
  trialCrashes: TrialCrash[] = trialsAlone(rows),
) {
  return Object.fromEntries(
    attributeCrashes({
      histories: rows,
      trialCrashes,
      priorQuarantine: rows
        .filter(({hasPriorQuarantine}) => hasPriorQuarantine)
        .map(({fingerprint}) => fingerprint),
      isSettled: incarnation => !unsettled.includes(incarnation),
    }),
  );
}

function trialsAlone(rows: Row[]): TrialCrash[] {
  return rows
    .filter(({hasCrashedAlone, crashes}) => hasCrashedAlone && crashes.size > 0)
    .map(({fingerprint, crashes}) => ({
      incarnation: [...crashes].at(-1)!,
      suspects: [fingerprint],
    }));
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

  // Guards against refusing a part that sound requests share because a trial's
  // runner returned an error, or its caller left.
  it('takes no trials without a result as proof against what was answered', () => {
    const shared = history('shared', ['1', '2', '3'], {
      wasAnswered: true,
      crashingForMs: 2_000,
      hasCrashedAlone: false,
      unresolvedTrials: 2,
    });
    expect(verdicts([shared])).toEqual({shared: 'suspect'});
  });

  // Guards against refusing a part that sound requests share because one more
  // runner failed while it ran a trial.
  it('quarantines what was answered after two crashes in trials, not one', () => {
    const shared = history('shared', ['1', '2', '3', '4'], {
      wasAnswered: true,
      crashingForMs: 2_000,
    });
    const trial = (incarnation: string) => ({
      incarnation,
      suspects: ['shared'],
    });
    expect(verdicts([shared], [], [trial('3')])).toEqual({shared: 'suspect'});
    expect(verdicts([shared], [], [trial('3'), trial('4')])).toEqual({
      shared: 'quarantined',
    });
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

  // Guards against refusing sound requests that share a part with crashing ones.
  it('leaves out what was answered after the first crashes', () => {
    const rows = [
      history('bad', ['1', '2', '3', '4', '5']),
      history('shared', ['4', '5'], {wasAnswered: true}),
    ];
    const trial = {incarnation: '5', suspects: ['bad', 'shared']};
    expect(verdicts(rows, [], [trial])).toEqual({bad: 'quarantined'});
  });

  it('does not suspect at once what was answered shortly before', () => {
    const fields = {wasAnswered: true, hasCrashedAlone: false};
    const crashes = ['1', '2', '3'];
    expect(
      verdicts([history('a', crashes, {...fields, crashingForMs: 1_499})]),
    ).toEqual({});
    expect(
      verdicts([history('a', crashes, {...fields, crashingForMs: 1_500})]),
    ).toEqual({a: 'suspect'});
  });

  it('refuses parts that always come together only together', () => {
    const rows = [
      history('a', ['1', '2', '3']),
      history('b', ['1', '2', '3']),
      history('beside', ['1', '2']),
    ];
    const trial = {incarnation: '3', suspects: ['a', 'b']};
    expect(verdicts(rows, [], [trial])).toEqual({
      'a+b': 'quarantined',
      a: 'suspect',
      b: 'suspect',
    });
  });

  it('tells parts apart once an answer clears one of them', () => {
    const rows = [history('a', ['1', '2', '3']), history('b', [])];
    const trial = {incarnation: '3', suspects: ['a', 'b']};
    expect(verdicts(rows, [], [trial])).toEqual({a: 'quarantined'});
  });

  it('blames a part although one that all share was at all its crashes', () => {
    const rows = [
      history('bad', ['1', '2', '3']),
      history('shared', ['1', '2', '3'], {wasAnswered: true}),
    ];
    const trial = {incarnation: '3', suspects: ['bad']};
    expect(verdicts(rows, [], [trial])).toEqual({bad: 'quarantined'});
  });

  it('never quarantines a part that sound requests share', () => {
    // Each crash has the bad part and some shared ones; answers on a shared part
    // come between any three crashes.
    const incarnations = Array.from({length: 12}, (_, i) => String(i));
    const scenario = fc.record({
      crashes: fc.integer({min: 4, max: 12}),
      shared: fc.array(fc.integer({min: 0, max: 2}), {maxLength: 8}),
    });
    fc.assert(
      fc.property(scenario, ({crashes, shared}) => {
        const all = incarnations.slice(0, crashes);
        const rows = [
          history('bad', all),
          ...shared.map((sinceAnswer, i) =>
            history(`s${i}`, all.slice(all.length - sinceAnswer)),
          ),
        ];
        const suspects = rows.map(({fingerprint}) => fingerprint);
        const trial = {incarnation: all.at(-1)!, suspects};
        expect(verdicts(rows, [], [trial])).toEqual({bad: 'quarantined'});
      }),
      {seed: 7, numRuns: 300},
    );
  });
});
