import {describe, expect, it} from 'vitest';
import {
  decideRateLimit,
  type ReceivedRateUse,
  type RateLimitView,
} from '../limits/decideRateLimit.js';

const HEARD: ReceivedRateUse = {
  used: 8,
  askedPerSecond: 40,
  ageMs: 200,
  ownAskedPerSecond: 10,
  unaccounted: 0,
};
const VIEW: RateLimitView = {
  limitPerSecond: 2,
  ownAskedPerSecond: 10,
  fleet: HEARD,
  entries: 4,
  random: () => 0.5,
};

/** The share of its requests that an entry sends, in thousandths. */
function sentPerMille(view: RateLimitView): number {
  let sent = 0;
  for (let i = 0; i < 1000; i++) {
    const random = () => (i + 0.5) / 1000;
    if (decideRateLimit({...view, random}).kind === 'admit') sent += 1;
  }
  return sent;
}

describe('decideRateLimit', () => {
  it('admits by the share that the limit is of what is asked for', () => {
    const views: Record<string, Partial<RateLimitView>> = {
      'a full window': {},
      'an empty window': {fleet: {...HEARD, used: 0}},
      'an overfull window': {fleet: {...HEARD, used: 9}},
      'requests of its own that nobody has counted': {
        fleet: {...HEARD, unaccounted: 1},
      },
      'more asked for than when last heard': {ownAskedPerSecond: 30},
      'a word that is old': {fleet: {...HEARD, ageMs: 2_000}},
      'no word': {fleet: undefined},
      'no word, in a large fleet': {fleet: undefined, entries: 730},
      'less asked for than the limit': {limitPerSecond: 50},
    };
    const shares = Object.entries(views).map(([name, fields]) => [
      name,
      sentPerMille({...VIEW, ...fields}),
    ]);
    expect(Object.fromEntries(shares)).toMatchSnapshot();
  });

  it('tells when the runner takes another request', () => {
    expect(decideRateLimit(VIEW)).toEqual({kind: 'refuse', retryAfterMs: 500});
  });
});
