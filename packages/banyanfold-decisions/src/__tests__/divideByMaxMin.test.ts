import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {divideByMaxMin} from '../shares/divideByMaxMin.js';

describe('divideByMaxMin', () => {
  it('gives no one more than asked, and no weight less than another that is short', () => {
    const parties = fc.array(
      fc.record({
        demand: fc.integer({min: 0, max: 1_000_000}),
        weight: fc.integer({min: 1, max: 10_000}),
      }),
      {minLength: 1, maxLength: 40},
    );
    const anyCapacity = fc.integer({min: 0, max: 10_000_000});
    fc.assert(
      fc.property(parties, anyCapacity, (demands, capacity) => {
        const amounts = divideByMaxMin(demands, capacity);
        const total = demands.reduce((sum, {demand}) => sum + demand, 0);
        const given = amounts.reduce((sum, amount) => sum + amount, 0);
        expect(given).toBeCloseTo(Math.min(total, capacity), 2);
        const ratios = amounts.map((a, i) => a / demands[i]!.weight);
        const highest = Math.max(...ratios);
        demands.forEach(({demand}, i) => {
          expect(amounts[i]).toBeLessThanOrEqual(demand);
          const isShort = amounts[i]! < demand * (1 - 1e-6);
          if (isShort) {
            expect(ratios[i]).toBeGreaterThanOrEqual(highest * (1 - 1e-6));
          }
        });
      }),
    );
  });
});
