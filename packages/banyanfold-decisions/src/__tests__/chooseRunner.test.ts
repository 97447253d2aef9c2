import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {chooseRunner, type RunnerCandidate} from '../chooseRunner.js';

function choice(runnerId: string, fields: Partial<RunnerCandidate> = {}) {
  return {
    runnerId,
    failureDomain: 'hall-a',
    openWork: 0,
    hasAdapter: true,
    isSuspect: false,
    ...fields,
  };
}

const THREE = ['r1', 'r2', 'r3'].map(id => choice(id));

function chosen(choices: RunnerCandidate[], key: string) {
  const affinity = key === '' ? undefined : {key, sharedWork: 6};
  return chooseRunner(choices, affinity, 'hall-a')?.runnerId;
}

describe('chooseRunner', () => {
  it('sends what shares a prompt to one runner, whoever asks', () => {
    const first = chosen(THREE, 'm1/a1/5c1e');
    expect(chosen([...THREE].reverse(), 'm1/a1/5c1e')).toBe(first);
    const keys = Array.from({length: 60}, (_, i) => chosen(THREE, `m1//${i}`));
    expect(new Set(keys).size).toBe(3);
  });

  it('passes a runner over that one group of prompts has filled', () => {
    const first = chosen(THREE, 'hot');
    const filled = THREE.map(each =>
      each.runnerId === first ? {...each, openWork: 20} : each,
    );
    expect(chosen(filled, 'hot')).not.toBe(first);
  });

  it('takes the least loaded without a key, its own domain on a tie', () => {
    const choices = [
      choice('r1', {failureDomain: 'hall-b'}),
      choice('r2'),
      choice('r3', {openWork: 1}),
    ];
    expect(chosen(choices, '')).toBe('r2');
  });

  it('takes a suspect runner only when there is no other', () => {
    const choices = [
      choice('r1', {isSuspect: true}),
      choice('r2', {openWork: 9}),
    ];
    expect(chosen(choices, '')).toBe('r2');
    expect(chosen([choices[0]!], '')).toBe('r1');
    expect(chosen([], 'x')).toBeUndefined();
  });

  it('moves only the keys of a runner that goes', () => {
    fc.assert(
      fc.property(fc.string({minLength: 1}), key => {
        const before = chosen(THREE, key);
        const rest = THREE.filter(({runnerId}) => runnerId !== 'r3');
        if (before !== 'r3') expect(chosen(rest, key)).toBe(before);
      }),
    );
  });
});
