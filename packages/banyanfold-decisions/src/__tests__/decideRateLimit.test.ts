import {describe, expect, it} from 'vitest';
import {
  decideRateLimit,
  type ReceivedRateUse,
  type RateLimitView,
} from '../limits/decideRateLimit.js';

const RECEIVED: ReceivedRateUse = {
  used: 8,
  askedPerSecond: 40,
  ageMs: 200,
  ownAskedPerSecond: 10,
  unaccounted: 0,
};
const VIEW: RateLimitView = {
  limitPerSecond: 2,
  ownAskedPerSecond: 10,
  fleet: RECEIVED,
  random: () => 0.5,
};

/** Returns how many of 1,000 requests an entry admits. */
function admittedPerMille(view: RateLimitView): number {
  let admitted = 0;
  for (let i = 0; i < 1000; i++) {
    const random = () => (i + 0.5) / 1000;
    if (decideRateLimit({...view, random}).kind === 'admit') admitted += 1;
  }
  return admitted;
}

describe('decideRateLimit', () => {
  it('admits the ratio of the limit to the demand', () => {
    const views: Record<string, Partial<RateLimitView>> = {
      'a full window': {},
      'an empty window': {fleet: {...RECEIVED, used: 0}},
      'an overfull window': {fleet: {...RECEIVED, used: 9}},
      'requests of its own that nobody has counted': {
        fleet: {...RECEIVED, unaccounted: 1},
      },
      'more asked for than when last heard': {ownAskedPerSecond: 30},
      'a word that is old': {fleet: {...RECEIVED, ageMs: 2_000}},
      'no word': {fleet: undefined},
      'no word, and a high limit': {fleet: undefined, limitPerSecond: 500},
      'less asked for than the limit': {limitPerSecond: 50},
    };
    const shares = Object.entries(views).map(([name, fields]) => [
      name,
      admittedPerMille({...VIEW, ...fields}),
    ]);
    expect(Object.fromEntries(shares)).toMatchSnapshot();
  });

  it('returns when the runner accepts another request', () => {
    expect(decideRateLimit(VIEW)).toEqual({kind: 'refuse', retryAfterMs: 500});
  });
});
