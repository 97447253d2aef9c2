import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {decideEjections} from '../decideEjections.js';
import type {RunnerOutcomes} from '../types.js';

function outcomes(
  vmId: string,
  overrides: Partial<RunnerOutcomes> = {},
): RunnerOutcomes {
  return {vmId, successes: 20, failures: 0, firstTokenMs: 100, ...overrides};
}

describe('decideEjections', () => {
  const peers = ['a', 'b', 'c'].map(vmId => outcomes(vmId));
  const table: Array<[string, RunnerOutcomes[]]> = [
    ['a failing runner', [outcomes('x', {successes: 5, failures: 15})]],
    ['a slow runner', [outcomes('x', {firstTokenMs: 900})]],
    [
      'none with too few outcomes',
      [outcomes('x', {successes: 0, failures: 2})],
    ],
    ['none that is slightly slower', [outcomes('x', {firstTokenMs: 250})]],
    [
      'none for being slower than another group',
      [outcomes('x', {firstTokenMs: 900, peerGroup: 'drafting'})],
    ],
    [
      'none beyond the limit, the worst first',
      ['x', 'y', 'z'].map((vmId, rank) =>
        outcomes(vmId, {successes: rank, failures: 20}),
      ),
    ],
  ];

  it.each(table)('ejects %s', (_name, others) => {
    expect(decideEjections([...peers, ...others], 0)).toMatchSnapshot();
  });

  it('ejects none if all are equally slow', () => {
    const all = ['a', 'b', 'c'].map(id => outcomes(id, {firstTokenMs: 5_000}));
    expect(decideEjections(all, 0).ejected).toEqual([]);
  });

  it('never ejects half or more, including current ejections', () => {
    const anyOutcomes = fc.array(
      fc.record({
        successes: fc.nat(50),
        failures: fc.nat(50),
        firstTokenMs: fc.nat(5_000),
        ejectedUntilMs: fc.constantFrom(0, 0, 0, 9),
      }),
      {maxLength: 20},
    );
    fc.assert(
      fc.property(anyOutcomes, drawnOutcomes => {
        const all = drawnOutcomes.map((fields, index) => ({
          vmId: `r${index}`,
          ...fields,
        }));
        const ejectedBefore = all.filter(o => o.ejectedUntilMs > 0).length;
        const {ejected} = decideEjections(all, 1);
        if (ejected.length === 0) return;
        expect(2 * (ejectedBefore + ejected.length)).toBeLessThan(all.length);
      }),
    );
  });
});
