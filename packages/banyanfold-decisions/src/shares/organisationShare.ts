import {MIN_RETRY_AFTER_MS} from '../options.js';
import type {ShareLimit, ShareLimits} from './shareDemand.js';

/** One request whose admission by the share is decided. */
export interface ShareView {
  pool: string;
  organisation: string;
  /** 0 is the most urgent. */
  priority: number;
  nowMs: number;
  /** Time until the caller's deadline. */
  leftMs: number;
  /** Returns a uniform number in [0, 1). */
  random(): number;
}

/** @property share probability with which such a request is admitted. */
export type ShareDecision =
  | {kind: 'admit'; share: number}
  /** @property retryAfterMs time until the share has room for the excess. */
  | {kind: 'refuse'; share: number; ageMs: number; retryAfterMs: number};

export interface OrganisationShareOptions {
  /** Six exchanges; after that, the entry admits as without shares. */
  expiryMs: number;
  /** Callers honour a Retry-After up to this share of their time left. */
  maxRetryAfterShare: number;
  /**
   * The excess of this time has to be served before a refused caller finds its
   * organisation below the share. The demand is averaged over half of it to
   * twice of it.
   */
  excessMs: number;
}

export const DEFAULT_ORGANISATION_SHARE_OPTIONS: OrganisationShareOptions = {
  expiryMs: 1_500,
  maxRetryAfterShare: 0.3,
  excessMs: 1_000,
};

/**
 * Admits the requests of organisations by the limits that the lease holder has
 * sent. Each request is admitted at random by itself, so that the share holds
 * in sum over any number of entries, also if each sees few requests.
 *
 * @example
 * const share = new OrganisationShare();
 * share.update({draft: {claims: [1, 0.4]}}, nowMs);
 * share.decide({pool: 'draft', organisation: 'claims', priority: 0, nowMs,
 *   leftMs: 8_000, random}).kind // 'admit'
 */
export class OrganisationShare {
  private limits: ShareLimits = {};
  private atMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly options: OrganisationShareOptions = DEFAULT_ORGANISATION_SHARE_OPTIONS,
  ) {}

  /** @param atMs time at which the holder sent the limits. */
  update(limits: ShareLimits, atMs: number): void {
    this.limits = limits;
    this.atMs = atMs;
  }

  /** Whether an organisation asks for more than its share. */
  isOver({
    pool,
    organisation,
    nowMs,
  }: Pick<ShareView, 'pool' | 'organisation' | 'nowMs'>): boolean {
    return this.limitOf(pool, organisation, nowMs) !== undefined;
  }

  /** Number of organisations with a limit, over all pools. */
  limitedCount(nowMs: number): number {
    if (nowMs - this.atMs > this.options.expiryMs) return 0;
    return Object.values(this.limits).reduce(
      (sum, byOrganisation) => sum + Object.keys(byOrganisation).length,
      0,
    );
  }

  decide(view: ShareView): ShareDecision {
    const {pool, organisation, priority, nowMs, random} = view;
    const limit = this.limitOf(pool, organisation, nowMs);
    if (!limit) return {kind: 'admit', share: 1};
    const share = admittedShare(limit, priority);
    if (random() < share) return {kind: 'admit', share};
    const retryAfterMs = this.retryAfterMs(share, view.leftMs);
    return {kind: 'refuse', share, ageMs: nowMs - this.atMs, retryAfterMs};
  }

  /** Time in which the share serves the excess over it. */
  private retryAfterMs(share: number, leftMs: number): number {
    const {excessMs, maxRetryAfterShare} = this.options;
    const servedMs = share > 0 ? (excessMs * (1 - share)) / share : Infinity;
    const honouredMs = leftMs * maxRetryAfterShare;
    return Math.max(MIN_RETRY_AFTER_MS, Math.min(servedMs, honouredMs));
  }

  private limitOf(
    pool: string,
    organisation: string,
    nowMs: number,
  ): ShareLimit | undefined {
    if (nowMs - this.atMs > this.options.expiryMs) return undefined;
    return ownValue(ownValue(this.limits, pool), organisation);
  }
}

/** Ignores inherited properties, as an organisation may be named like one. */
function ownValue<T>(
  record: Readonly<Record<string, T>> | undefined,
  key: string,
): T | undefined {
  return record && Object.hasOwn(record, key) ? record[key] : undefined;
}

function admittedShare(
  [limitedPriority, share]: ShareLimit,
  priority: number,
): number {
  if (priority === limitedPriority) return share;
  return priority < limitedPriority ? 1 : 0;
}
