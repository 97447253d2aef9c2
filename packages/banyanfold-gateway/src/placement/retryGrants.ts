import type {Clock} from '@banyanfold/core';
import type {RetryGrant} from '../peers/retryGrantContract.js';

export interface RetryGrantsOptions {
  clock: Clock;
  /** Permits that all entries may get per window, for each service. */
  permitsPerWindow: number;
  windowMs: number;
  /** How long a permit is valid. */
  grantedForMs: number;
  /** How long another holder may grant after this one took over. */
  leaseTtlMs: number;
  /** Number of active entries, which sets the pace of their requests. */
  entryCount(): number;
}

interface Grant {
  atMs: number;
  count: number;
}

const MIN_PAUSE_MS = 1_000;
/** Lets all refused entries together ask 50 times a second. */
const PAUSE_PER_ENTRY_MS = 20;
/** A holder that takes over meanwhile may grant again. */
const MAX_PAUSE_MS = 5_000;

/**
 * Permits to retry that the lease holder grants to entries that have earned
 * none. In any window no more are used than the deployment allows.
 */
export class RetryGrants {
  private readonly grants = new Map<string, Grant[]>();
  /** Until then, permits of another holder may be valid. */
  private pausedUntilMs = Number.POSITIVE_INFINITY;

  constructor(private readonly options: RetryGrantsOptions) {}

  /**
   * Starts to grant as the holder.
   *
   * @param isFirst no other process has granted any permits.
   */
  begin(isFirst: boolean): void {
    const {clock, leaseTtlMs} = this.options;
    const nowMs = clock.nowMs();
    const otherGrantsMs = leaseTtlMs + this.countedMs;
    this.pausedUntilMs = isFirst ? nowMs : nowMs + otherGrantsMs;
  }

  /** @example grants.grant('drafting', 2) // {granted: 2, retryAfterMs: 0} */
  grant(service: string, count: number): RetryGrant {
    const {clock, permitsPerWindow} = this.options;
    const nowMs = clock.nowMs();
    if (nowMs < this.pausedUntilMs) return this.refuse(this.pausedUntilMs);
    const grants = (this.grants.get(service) ?? []).filter(
      ({atMs}) => atMs > nowMs - this.countedMs,
    );
    const used = grants.reduce((sum, grant) => sum + grant.count, 0);
    const granted = Math.min(count, Math.floor(permitsPerWindow) - used);
    if (granted > 0) grants.push({atMs: nowMs, count: granted});
    this.grants.set(service, grants);
    if (granted === count) return {granted, retryAfterMs: 0};
    const oldestMs = grants[0]?.atMs ?? nowMs;
    return {...this.refuse(oldestMs + this.countedMs), granted};
  }

  /** A permit may be used until it expires, in a later window. */
  private get countedMs(): number {
    const {windowMs, grantedForMs} = this.options;
    return windowMs + grantedForMs;
  }

  private refuse(untilMs: number): RetryGrant {
    const {clock, entryCount} = this.options;
    const retryAfterMs = Math.max(
      MIN_PAUSE_MS,
      entryCount() * PAUSE_PER_ENTRY_MS,
      Math.min(untilMs - clock.nowMs(), MAX_PAUSE_MS),
    );
    return {granted: 0, retryAfterMs};
  }
}
