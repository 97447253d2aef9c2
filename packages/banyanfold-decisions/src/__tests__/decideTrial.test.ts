import {describe, expect, it} from 'vitest';
import {decideTrial, type TrialView} from '../crashes/decideTrial.js';

const VIEW: TrialView = {
  fingerprint: 'a',
  crashes: 2,
  isVerdictPending: false,
  runnerIds: ['r1', 'r2'],
  activeTrials: new Map(),
  otherCrashCounts: [],
};

describe('decideTrial', () => {
  it('chooses the best runner without another suspect', () => {
    expect(decideTrial(VIEW)).toEqual({kind: 'run', runnerId: 'r1'});
    const activeTrials = new Map([['b', 'r1']]);
    expect(decideTrial({...VIEW, activeTrials})).toEqual({
      kind: 'run',
      runnerId: 'r2',
    });
  });

  it('waits while each runner has a trial', () => {
    const activeTrials = new Map([
      ['b', 'r1'],
      ['c', 'r2'],
    ]);
    expect(decideTrial({...VIEW, activeTrials})).toEqual({
      kind: 'wait',
      reason: 'runners-taken',
    });
  });

  it('never runs a suspect twice at a time', () => {
    // Guards against a request that two entries send at the same time, which
    // would crash two runners.
    const activeTrials = new Map([['a', 'r9']]);
    expect(decideTrial({...VIEW, activeTrials})).toEqual({
      kind: 'wait',
      reason: 'under-way',
    });
  });

  it('waits for the verdict on the previous crash', () => {
    // Guards against one more crash: a second entry could run the request
    // before the third crash leads to a verdict.
    expect(decideTrial({...VIEW, isVerdictPending: true})).toEqual({
      kind: 'wait',
      reason: 'being-judged',
    });
  });

  it('runs suspects with more crashes first', () => {
    expect(decideTrial({...VIEW, otherCrashCounts: [2, 3]})).toEqual({
      kind: 'wait',
      reason: 'others-first',
    });
    expect(decideTrial({...VIEW, otherCrashCounts: [2, 1]}).kind).toBe('run');
  });
});
