import {BanyanfoldError} from '@banyanfold/core';

/** The bounds on the timestamp of a key that may be claimed. */
export interface ClaimWindow {
  /** The maximum age of a key when its claim is appended. */
  horizonMs: number;
  /** The maximum time by which a key may be ahead of the log's clock. */
  maxAheadMs: number;
}

export const DEFAULT_CLAIM_WINDOW: ClaimWindow = {
  horizonMs: 30 * 60_000,
  maxAheadMs: 60_000,
};

export type WindowRefusal = 'key-too-old' | 'key-from-future';

/**
 * Checks the timestamp K of a key against the time T at which its claim was
 * appended, by the log's clock: `T - horizonMs <= K <= T + maxAheadMs`.
 *
 * A key cannot be owned twice even though the log trims old records. Suppose
 * two claims of one key are within their windows and appended at T1 < T2. The
 * first implies `T1 >= K - maxAheadMs`, the second `T2 <= K + horizonMs`, so
 * `T2 - T1 <= horizonMs + maxAheadMs < retentionMs`, and the first claim is
 * still in the log when the second is appended. A reader that evaluates the
 * second claim later may have missed the first. It tracks the latest time of
 * the records that it missed (see `MissedRecords`) and refuses every key whose
 * first claim could be that old.
 */
export function checkWindow(
  keyMs: number,
  appendedAtMs: number,
  {horizonMs, maxAheadMs}: ClaimWindow,
): WindowRefusal | undefined {
  if (keyMs < appendedAtMs - horizonMs) return 'key-too-old';
  if (keyMs > appendedAtMs + maxAheadMs) return 'key-from-future';
  return undefined;
}

/** @throws BanyanfoldError `claim-window-too-wide`. */
export function assertWindowFits(
  {horizonMs, maxAheadMs}: ClaimWindow,
  retentionMs: number,
): void {
  if (horizonMs + maxAheadMs < retentionMs) return;
  throw new BanyanfoldError(
    'claim-window-too-wide',
    `horizonMs + maxAheadMs (${horizonMs} + ${maxAheadMs}) must be less than ` +
      `the log's retention (${retentionMs}); lower horizonMs`,
    {step: 'check-claim-window', peer: 'self'},
  );
}
