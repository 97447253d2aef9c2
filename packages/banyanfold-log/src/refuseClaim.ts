import {BanyanfoldError} from '@banyanfold/core';
import {err, type Result} from 'neverthrow';
import type {ClaimErrorCode, ClaimOutcome} from './keyClaimsTypes.js';

const PLACE = {step: 'claim-key', peer: 'log'} as const;

/**
 * Creates the error of a refused claim, with the cause's step and peer if any.
 */
export function refuseClaim(
  code: ClaimErrorCode,
  message: string,
  cause?: BanyanfoldError,
): Result<ClaimOutcome, BanyanfoldError> {
  const {step, peer} = cause ?? PLACE;
  return err(new BanyanfoldError(code, message, {step, peer}, {cause}));
}
