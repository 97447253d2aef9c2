import {BanyanfoldError} from '@banyanfold/core';
import {err, type Result} from 'neverthrow';
import type {ClaimErrorCode, ClaimOutcome} from './keyClaimsTypes.js';

const PLACE = {step: 'claim-key', peer: 'log'} as const;

/** Refuses a claim; the step and the peer are those of the cause, if any. */
export function refuseClaim(
  code: ClaimErrorCode,
  message: string,
  cause?: BanyanfoldError,
): Result<ClaimOutcome, BanyanfoldError> {
  const {step, peer} = cause ?? PLACE;
  return err(new BanyanfoldError(code, message, {step, peer}, {cause}));
}
