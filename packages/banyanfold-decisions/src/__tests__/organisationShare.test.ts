import {describe, expect, it} from 'vitest';
import {MIN_RETRY_AFTER_MS} from '../options.js';
import {OrganisationShare} from '../shares/organisationShare.js';

const POOL = 'drafting';

describe('OrganisationShare', () => {
  const view = {
    pool: POOL,
    organisation: 'claims',
    priority: 1,
    nowMs: 0,
    leftMs: 10_000,
    random: () => 0.6,
  };

  function shareOf(share: number): OrganisationShare {
    const shares = new OrganisationShare();
    shares.update({[POOL]: {claims: [1, share]}}, 0);
    return shares;
  }

  it('admits by the share, and everything that is more urgent or not limited', () => {
    const shares = shareOf(0.5);
    expect(shares.decide(view).kind).toBe('refuse');
    expect(shares.decide({...view, random: () => 0.4}).kind).toBe('admit');
    expect(shares.decide({...view, priority: 0}).kind).toBe('admit');
    expect(shares.decide({...view, priority: 2}).kind).toBe('refuse');
    for (const name of ['other', 'constructor']) {
      expect(shares.decide({...view, organisation: name}).kind).toBe('admit');
    }
  });

  // Guards against an entry that refuses by limits of a holder that is gone.
  it('admits everything 1.5 s after the last limits, and before the first', () => {
    const shares = shareOf(0);
    expect(shares.decide({...view, nowMs: 1_500}).kind).toBe('refuse');
    expect(shares.decide({...view, nowMs: 1_501}).kind).toBe('admit');
    expect(new OrganisationShare().decide(view).kind).toBe('admit');
  });

  it('names the time in which the share serves the excess, as far as callers wait', () => {
    const retryAfterMs = (share: number, leftMs = 10_000) => {
      const decision = shareOf(share).decide({...view, leftMs});
      return decision.kind === 'refuse' ? decision.retryAfterMs : undefined;
    };
    expect(retryAfterMs(0.5)).toBe(1_000);
    expect(retryAfterMs(0.01)).toBe(3_000);
    expect(retryAfterMs(0)).toBe(3_000);
    expect(retryAfterMs(0.59)).toBeCloseTo(695, 0);
    expect(retryAfterMs(0.5, 500)).toBe(MIN_RETRY_AFTER_MS);
  });
});
