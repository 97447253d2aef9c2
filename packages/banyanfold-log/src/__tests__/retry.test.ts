import {describe, expect, it} from 'vitest';
import {Backoff} from '../backoff.js';
import {rendezvousOrder} from '../rendezvousOrder.js';
import {RetryBudget} from '../retryBudget.js';
import {createTestDependencies} from './testKit.js';

describe('Backoff.nextDelayMs', () => {
  it('draws from a range that doubles up to the cap', () => {
    const draws = [1, 0.5, 1, 0, 1, 1, 1];
    const random = () => draws.shift() ?? 0;
    const backoff = new Backoff({baseMs: 100, capMs: 1_500, random});
    const delays = Array.from({length: 6}, () => backoff.nextDelayMs());
    expect(delays).toEqual([100, 100, 400, 0, 1_500, 1_500]);
    backoff.reset();
    expect(backoff.nextDelayMs()).toBe(100);
  });
});

describe('RetryBudget', () => {
  it('adds a share of the attempts and a little over time', async () => {
    const {clock} = createTestDependencies();
    const rates = {tokensPerAttempt: 0.5, tokensPerSecond: 1, capacity: 2};
    const budget = new RetryBudget({clock, ...rates});
    const take = () => budget.tryTake();
    const seen = [take(), take(), take()];
    for (let attempt = 0; attempt < 2; attempt++) budget.recordAttempt();
    seen.push(take(), take());
    await clock.advance(60_000);
    seen.push(take(), take(), take());
    const expected = [true, true, false, true, false, true, true, false];
    expect(seen).toEqual(expected);
  });
});

describe('rendezvousOrder', () => {
  const ids = ['a', 'b', 'c', 'd', 'e'];

  it('keeps the order of the others when one is removed', () => {
    for (let key = 0; key < 200; key++) {
      const order = rendezvousOrder(`key-${key}`, ids);
      const fewer = rendezvousOrder(`key-${key}`, ids.slice(1).reverse());
      expect(fewer).toEqual(order.filter(id => id !== 'a'));
    }
  });

  it('spreads keys over all ids', () => {
    const firsts = new Map<string, number>();
    for (let key = 0; key < 1_000; key++) {
      const first = rendezvousOrder(`key-${key}`, ids)[0]!;
      firsts.set(first, (firsts.get(first) ?? 0) + 1);
    }
    expect(Math.min(...ids.map(id => firsts.get(id) ?? 0))).toBeGreaterThan(
      150,
    );
  });
});
