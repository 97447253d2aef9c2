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
  it('takes the best runner at which no other suspect runs', () => {
    expect(decideTrial(VIEW)).toEqual({kind: 'run', runnerId: 'r1'});
    const activeTrials = new Map([['b', 'r1']]);
    expect(decideTrial({...VIEW, activeTrials})).toEqual({
      kind: 'run',
      runnerId: 'r2',
    });
  });

  it('waits while each runner has one', () => {
    const activeTrials = new Map([
      ['b', 'r1'],
      ['c', 'r2'],
    ]);
    expect(decideTrial({...VIEW, activeTrials})).toEqual({
      kind: 'wait',
      reason: 'runners-taken',
    });
  });

  it('never runs one twice at once', () => {
    // Sent by two entries in the same moment it would crash two runners.
    const activeTrials = new Map([['a', 'r9']]);
    expect(decideTrial({...VIEW, activeTrials})).toEqual({
      kind: 'wait',
      reason: 'under-way',
    });
  });

  it('waits for the verdict on the crash before', () => {
    // A second entry would crash one more runner with it in the moment in which
    // the third crash isn't judged yet.
    expect(decideTrial({...VIEW, isVerdictPending: true})).toEqual({
      kind: 'wait',
      reason: 'being-judged',
    });
  });

  it('lets those go first under which more runners crashed', () => {
    expect(decideTrial({...VIEW, otherCrashCounts: [2, 3]})).toEqual({
      kind: 'wait',
      reason: 'others-first',
    });
    expect(decideTrial({...VIEW, otherCrashCounts: [2, 1]}).kind).toBe('run');
  });
});
