import type {GatewayContext} from '../context.js';
import {usageOf} from '../callers/usageAccounts.js';
import type {InferenceRequest, Organisation} from '../types.js';
import type {RequestLog} from './requestLog.js';

export interface UsageChargeOptions {
  context: GatewayContext;
  request: InferenceRequest;
  /** Undefined for a caller without one. */
  organisation: Organisation | undefined;
  log: RequestLog;
}

/** What one request counts against the usage cap of its organisation. */
export class UsageCharge {
  private charged: {organisation: string; amount: number} | undefined;

  constructor(private readonly options: UsageChargeOptions) {}

  /**
   * Counts the request.
   *
   * @returns when the caller may come back, in ms, if it goes beyond the cap.
   */
  charge(): number | undefined {
    const {context, request, organisation, log} = this.options;
    const cap = organisation?.usageCap;
    if (!cap) return undefined;
    const amount = usageOf(request, cap);
    const decision = context.usage.decide(organisation, cap, amount);
    const {name} = organisation;
    if (decision.kind === 'admit') {
      this.charged = {organisation: name, amount};
      return undefined;
    }
    log.refuseOverCap(name, amount, decision);
    context.metrics.count('over_cap_total', {organisation: name});
    return decision.retryAfterMs;
  }

  /** No runner ran it. */
  refund(): void {
    if (!this.charged) return;
    const {organisation, amount} = this.charged;
    this.charged = undefined;
    this.options.context.usage.refund(organisation, amount);
  }
}
