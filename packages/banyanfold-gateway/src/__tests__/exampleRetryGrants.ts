import type {Clock} from '@banyanfold/core';
import {RetryGrants} from '../placement/retryGrants.js';

/** Grants of a deployment that allows 50 retries in 10 s. */
export function exampleRetryGrants(clock: Clock): RetryGrants {
  return new RetryGrants({
    clock,
    permitsPerWindow: 50,
    windowMs: 10_000,
    grantedForMs: 2_000,
    leaseTtlMs: 1_000,
    entryCount: () => 1,
  });
}
