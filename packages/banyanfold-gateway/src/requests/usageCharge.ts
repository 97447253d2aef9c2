import type {GatewayContext} from '../context.js';
import {usageOf} from '../callers/usageOf.js';
import type {InferenceRequest, Organisation} from '../types.js';
import type {RequestLog} from './requestLog.js';

export interface UsageChargeOptions {
  context: GatewayContext;
  request: InferenceRequest;
  /** Undefined for a caller without an organisation. */
  organisation: Organisation | undefined;
  log: RequestLog;
}

/** Charges one request to the usage cap of its organisation. */
export class UsageCharge {
  private charged:
    {organisation: string; amount: number; atMs: number} | undefined;

  constructor(private readonly options: UsageChargeOptions) {}

  /**
   * Charges the request if the cap admits it.
   *
   * @returns the retry delay in ms if the request exceeds the cap.
   */
  async charge(): Promise<number | undefined> {
    const {context, request, organisation, log} = this.options;
    const cap = organisation?.usageCap;
    if (!cap) return undefined;
    await context.usage.untilFresh();
    const {name} = organisation;
    const amount = usageOf(request, cap);
    let decision = context.usage.decide(organisation, cap, amount);
    for (let waits = 1; decision.kind === 'wait'; waits++) {
      context.metrics.count('cap_waits_total', {organisation: name});
      await context.usage.untilUpdated();
      decision = context.usage.decide(organisation, cap, amount, waits);
    }
    if (decision.kind === 'admit') {
      const atMs = context.clock.nowMs();
      this.charged = {organisation: name, amount, atMs};
      return undefined;
    }
    log.refuseOverCap(name, amount, decision);
    context.metrics.count('over_cap_total', {organisation: name});
    return decision.retryAfterMs;
  }

  /** Refunds the charge of a request that no runner ran. Idempotent. */
  refund(): void {
    if (!this.charged) return;
    const {organisation, amount, atMs} = this.charged;
    this.charged = undefined;
    this.options.context.usage.refund(organisation, amount, atMs);
  }
}
