import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {chooseRunner, type RunnerCandidate} from '../chooseRunner.js';

function candidate(runnerId: string, fields: Partial<RunnerCandidate> = {}) {
  return {
    runnerId,
    failureDomain: 'hall-a',
    openWork: 0,
    hasAdapter: true,
    isSuspect: false,
    ...fields,
  };
}

const THREE_RUNNERS = ['r1', 'r2', 'r3'].map(id => candidate(id));

function chosenFor(choices: RunnerCandidate[], key: string) {
  const affinity = key === '' ? undefined : {key, sharedWork: 6};
  return chooseRunner(choices, affinity, 'hall-a')?.runnerId;
}

describe('chooseRunner', () => {
  it('sends requests that share a prompt to one runner from any entry', () => {
    const first = chosenFor(THREE_RUNNERS, 'm1/a1/5c1e');
    expect(chosenFor([...THREE_RUNNERS].reverse(), 'm1/a1/5c1e')).toBe(first);
    const keys = Array.from({length: 60}, (_, i) =>
      chosenFor(THREE_RUNNERS, `m1//${i}`),
    );
    expect(new Set(keys).size).toBe(3);
  });

  it('skips a runner that one group of prompts has filled', () => {
    const first = chosenFor(THREE_RUNNERS, 'hot');
    const filled = THREE_RUNNERS.map(each =>
      each.runnerId === first ? {...each, openWork: 20} : each,
    );
    expect(chosenFor(filled, 'hot')).not.toBe(first);
  });

  it('chooses the least loaded without a key, its own domain on a tie', () => {
    const choices = [
      candidate('r1', {failureDomain: 'hall-b'}),
      candidate('r2'),
      candidate('r3', {openWork: 1}),
    ];
    expect(chosenFor(choices, '')).toBe('r2');
  });

  it('chooses a suspect runner only if there is no other', () => {
    const choices = [
      candidate('r1', {isSuspect: true}),
      candidate('r2', {openWork: 9}),
    ];
    expect(chosenFor(choices, '')).toBe('r2');
    expect(chosenFor([choices[0]!], '')).toBe('r1');
    expect(chosenFor([], 'x')).toBeUndefined();
  });

  // Guards against equal work for a slow machine and a fast one.
  it('counts open work and the prompt by speed', () => {
    const affinity = {key: 'hot', sharedWork: 0, promptWork: 9};
    const first = chooseRunner(THREE_RUNNERS, affinity, 'hall-a')?.runnerId;
    const chosenAt = (fields: Partial<RunnerCandidate>) => {
      const runners = THREE_RUNNERS.map(each =>
        each.runnerId === first ? {...each, ...fields} : each,
      );
      return chooseRunner(runners, affinity, 'hall-a')?.runnerId;
    };
    expect(chosenAt({speed: 1})).toBe(first);
    expect(chosenAt({speed: 0.5})).not.toBe(first);
    expect(chosenAt({openWork: 2.5, speed: 1})).toBe(first);
    expect(chosenAt({openWork: 2.5, speed: 0.8})).not.toBe(first);
  });

  it('moves only the keys of a runner that is removed', () => {
    fc.assert(
      fc.property(fc.string({minLength: 1}), key => {
        const before = chosenFor(THREE_RUNNERS, key);
        const rest = THREE_RUNNERS.filter(({runnerId}) => runnerId !== 'r3');
        if (before !== 'r3') expect(chosenFor(rest, key)).toBe(before);
      }),
    );
  });
});
