import type {UsageRefund, UsageReport} from '@banyanfold/decisions';

/**
 * Interval within which refunds are merged; shorter than a slot of the window
 * in which the holder counts.
 */
const REFUND_STEP_MS = 100;

interface Counts {
  asked: number;
  used: number;
  /** Refunded amounts by the time at which they were charged. */
  refunds: Map<number, number>;
}

/** Counts usage by organisation between two exchanges with the holder. */
export class UsageMeter {
  private byOrganisation = new Map<string, Counts>();
  private takenMs = Number.NEGATIVE_INFINITY;

  /**
   * @param asked the amount that callers requested, admitted or not.
   * @param used the admitted amount.
   */
  note(organisation: string, asked: number, used: number): void {
    const counts = this.of(organisation);
    counts.asked += asked;
    counts.used += used;
  }

  /**
   * Records a refund. One of a charge that is not reported yet only cancels it:
   * the holder counts that charge when it is told of it, so a refund at an
   * earlier time would leave the window before the charge does.
   *
   * @param chargedMs time at which the refunded amount was charged.
   */
  refund(organisation: string, amount: number, chargedMs: number): void {
    if (chargedMs > this.takenMs) this.of(organisation).used -= amount;
    else this.refundReported(organisation, amount, chargedMs);
  }

  private refundReported(
    organisation: string,
    amount: number,
    chargedMs: number,
  ): void {
    const counts = this.of(organisation);
    counts.used -= amount;
    const step = Math.floor(chargedMs / REFUND_STEP_MS) * REFUND_STEP_MS;
    counts.refunds.set(step, (counts.refunds.get(step) ?? 0) + amount);
  }

  /** Adds the counts of another entry. */
  add(reports: readonly UsageReport[], nowMs: number): void {
    for (const {organisation, asked, used, refunds = []} of reports) {
      const refunded = refunds.reduce((sum, {amount}) => sum + amount, 0);
      this.note(organisation, asked, used + refunded);
      for (const {amount, agoMs} of refunds) {
        this.refundReported(organisation, amount, nowMs - agoMs);
      }
    }
  }

  /** Returns the counts and resets them. */
  take(nowMs: number): UsageReport[] {
    const taken = [...this.byOrganisation];
    this.takenMs = nowMs;
    this.byOrganisation = new Map();
    return taken.map(([organisation, {asked, used, refunds}]) => ({
      organisation,
      asked,
      used,
      refunds: refundsOf(refunds, nowMs),
    }));
  }

  private of(organisation: string): Counts {
    const known = this.byOrganisation.get(organisation);
    const counts = known ?? {asked: 0, used: 0, refunds: new Map()};
    this.byOrganisation.set(organisation, counts);
    return counts;
  }
}

function refundsOf(
  refunds: ReadonlyMap<number, number>,
  nowMs: number,
): UsageRefund[] | undefined {
  if (refunds.size === 0) return undefined;
  return [...refunds].map(([chargedMs, amount]) => ({
    amount,
    agoMs: nowMs - chargedMs,
  }));
}
