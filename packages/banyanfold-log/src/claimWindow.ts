import {BanyanfoldError} from '@banyanfold/core';

/** The bounds within which a key may be claimed. */
export interface ClaimWindow {
  /** How old a key may be when its claim is appended. */
  horizonMs: number;
  /** How far a key's clock may be ahead of the log's. */
  maxAheadMs: number;
}

export const DEFAULT_CLAIM_WINDOW: ClaimWindow = {
  horizonMs: 30 * 60_000,
  maxAheadMs: 60_000,
};

export type WindowRefusal = 'key-too-old' | 'key-from-future';

/**
 * Judges the time K of a key against the time T at which its claim was
 * appended, by the log's clock: `T - horizonMs <= K <= T + maxAheadMs`.
 *
 * Why a key can't be owned twice although the log forgets: take two claims of
 * one key within their windows, appended at T1 < T2. The first gives
 * `T1 >= K - maxAheadMs`, the second `T2 <= K + horizonMs`, so
 * `T2 - T1 <= horizonMs + maxAheadMs < retentionMs`: the first is still in the
 * log when the second is appended. A reader that judges later than that may
 * have missed the first; it knows the latest time of what it missed (see
 * `ClaimsFold`) and refuses each key whose first claim could be as old.
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
