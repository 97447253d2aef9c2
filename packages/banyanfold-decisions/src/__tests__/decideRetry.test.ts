import {describe, expect, it} from 'vitest';
import {decideRetry} from '../decideRetry.js';
import type {RetryView} from '../types.js';

const VIEW: RetryView = {
  attemptsMade: 1,
  budgetTokens: 5,
  firstByteSent: false,
  allNeverStarted: true,
  repeatable: false,
  remainingBudgetMs: 300,
};

describe('decideRetry', () => {
  const table: Array<[string, Partial<RetryView>]> = [
    ['never started', {}],
    ['repeatable', {allNeverStarted: false, repeatable: true}],
    ['may have started', {allNeverStarted: false}],
    ['caller has received a byte', {firstByteSent: true, repeatable: true}],
    ['attempts spent', {attemptsMade: 3}],
    ['budget spent', {budgetTokens: 0.9}],
    ['no time left', {remainingBudgetMs: 10}],
    [
      'delay bounded by the time left',
      {attemptsMade: 2, remainingBudgetMs: 22},
    ],
  ];

  it.each(table)('%s', (_name, overrides) => {
    const view = {...VIEW, ...overrides};
    expect(decideRetry(view, 0, undefined, () => 0.5)).toMatchSnapshot();
  });
});
