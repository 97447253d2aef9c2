import type {Clock} from '@banyanfold/core';
import {
  OrganisationShare,
  type PoolBacklog,
  type ShareDecision,
  type ShareLimits,
} from '@banyanfold/decisions';
import {AdmittedWork} from './admittedWork.js';
import {ShareMeter, type ShareReport} from './shareMeter.js';

export interface FairSharesOptions {
  clock: Clock;
  random(): number;
  /** Whether shares are set up, and there are organisations to divide between. */
  isEnabled(): boolean;
}

/** A request, as far as its admission by the share depends on it. */
export interface SharedRequest {
  pool: string;
  /** Undefined for a caller without an organisation. */
  organisation: string | undefined;
  priority: number;
  /** In thousands of prompt tokens. */
  work: number;
  targetMs: number;
  /** Time until the caller's deadline. */
  leftMs: number;
}

/** @property admitted its part of the backlog, for as long as it waits. */
export type ShareAdmission =
  | {kind: 'admit'; admitted: AdmittedWork}
  | Extract<ShareDecision, {kind: 'refuse'}>;

/** Callers without an organisation share as one, whose name is empty. */
const NO_ORGANISATION = '';

/** Admits requests by the shares of their organisations, and counts demand. */
export class FairShares {
  /** Also contains the counts of the entries that this one relays for. */
  readonly meter = new ShareMeter();
  private readonly share = new OrganisationShare();

  constructor(private readonly options: FairSharesOptions) {}

  get isEnabled(): boolean {
    return this.options.isEnabled();
  }

  /** Number of limits that this entry applies, over all pools. */
  get limitedCount(): number {
    return this.share.limitedCount(this.options.clock.nowMs());
  }

  /** Returns undefined if there are no shares. */
  decide(request: SharedRequest): ShareAdmission | undefined {
    if (!this.isEnabled) return undefined;
    const {clock, random} = this.options;
    const {pool, priority, work, targetMs, leftMs} = request;
    const {organisation = NO_ORGANISATION} = request;
    const id = {pool, organisation, priority};
    const nowMs = clock.nowMs();
    const decision = this.share.decide({...id, nowMs, leftMs, random});
    const admitted = decision.kind === 'admit' ? work : 0;
    this.meter.addDemand({...id, asked: work, admitted});
    if (decision.kind === 'refuse') return decision;
    const backlog = {requests: 1, work, workMs: work * targetMs};
    return {
      kind: 'admit',
      admitted: new AdmittedWork(this.meter, pool, backlog),
    };
  }

  /** Whether the organisation asks for more than its share. */
  isOverShare(pool: string, organisation: string = NO_ORGANISATION): boolean {
    if (!this.isEnabled) return false;
    const nowMs = this.options.clock.nowMs();
    return this.share.isOver({pool, organisation, nowMs});
  }

  /**
   * Takes the report for the next exchange; empty if there are no shares. What
   * other entries have reported is passed on in any case.
   */
  takeReport(): Partial<ShareReport> {
    const report = this.meter.take(this.options.clock.nowMs());
    const {demandByOrganisation, poolProgress} = report;
    const isEmpty = demandByOrganisation.length + poolProgress.length === 0;
    return isEmpty && !this.isEnabled ? {} : report;
  }

  /** Undefined if there are no shares. */
  ownBacklogs(): Record<string, PoolBacklog> | undefined {
    return this.isEnabled ? this.meter.ownBacklogs() : undefined;
  }

  /**
   * Applies the limits that the holder has sent.
   *
   * @param limits undefined from a holder without shares.
   * @param ageMs time since it sent them.
   */
  applyLimits(limits: ShareLimits = {}, ageMs: number): void {
    this.share.update(limits, this.options.clock.nowMs() - ageMs);
  }
}
