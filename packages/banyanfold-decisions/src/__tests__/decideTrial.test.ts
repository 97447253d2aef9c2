import {describe, expect, it} from 'vitest';
import {decideTrial, type TrialView} from '../crashes/decideTrial.js';

const VIEW: TrialView = {
  fingerprints: ['a'],
  crashes: 2,
  isVerdictPending: false,
  runnerIds: ['r1', 'r2'],
  activeTrials: [],
  others: [],
};

describe('decideTrial', () => {
  it('chooses the best runner without another suspect', () => {
    expect(decideTrial(VIEW)).toEqual({kind: 'run', runnerId: 'r1'});
    const activeTrials = [{runnerId: 'r1', fingerprints: ['b']}];
    expect(decideTrial({...VIEW, activeTrials})).toEqual({
      kind: 'run',
      runnerId: 'r2',
    });
  });

  it('waits while each runner has a trial', () => {
    const activeTrials = [
      {runnerId: 'r1', fingerprints: ['b']},
      {runnerId: 'r2', fingerprints: ['c']},
    ];
    expect(decideTrial({...VIEW, activeTrials})).toEqual({
      kind: 'wait',
      reason: 'runners-taken',
    });
  });

  it('never runs a suspect twice at a time', () => {
    // Guards against a request that two entries send at the same time, which
    // would crash two runners.
    const activeTrials = [{runnerId: 'r9', fingerprints: ['a']}];
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
    const others = [2, 3].map(crashes => ({crashes, suspects: 1}));
    expect(decideTrial({...VIEW, others})).toEqual({
      kind: 'wait',
      reason: 'others-first',
    });
    const fewer = [2, 1].map(crashes => ({crashes, suspects: 1}));
    expect(decideTrial({...VIEW, others: fewer}).kind).toBe('run');
  });

  it('never runs a suspect beside another request that has it', () => {
    const activeTrials = [{runnerId: 'r9', fingerprints: ['b', 'c']}];
    const view = {...VIEW, fingerprints: ['a', 'b'], activeTrials};
    expect(decideTrial(view)).toEqual({kind: 'wait', reason: 'under-way'});
  });

  // Guards against blaming a part that others share with the cause.
  it('runs the request with fewer suspects first', () => {
    const others = [{crashes: 2, suspects: 1}];
    const view = {...VIEW, fingerprints: ['a', 'b'], others};
    expect(decideTrial(view)).toEqual({kind: 'wait', reason: 'others-first'});
    const more = [{crashes: 2, suspects: 2}];
    expect(decideTrial({...VIEW, others: more}).kind).toBe('run');
  });
});
