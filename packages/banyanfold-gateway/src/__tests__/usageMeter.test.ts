import {FleetUsage} from '@banyanfold/decisions';
import {describe, expect, it} from 'vitest';
import {UsageMeter} from '../callers/usageMeter.js';

const WINDOW_MS = 8_000;
const LIMIT = {ratePerSecond: 1_000, perWindow: 9_000, windowMs: WINDOW_MS};

function startHolder(): FleetUsage {
  return new FleetUsage({
    windowMs: WINDOW_MS,
    startMs: 0,
    limitOf: () => LIMIT,
    knownUse: new Map(),
    assumedUse: () => 0,
  });
}

describe('UsageMeter', () => {
  // Guards against a refund that frees use once more after its charge expired.
  it('reports through a relay when refunded use was charged', () => {
    const holder = startHolder();
    const entry = new UsageMeter();
    const relay = new UsageMeter();
    const leftAt = (nowMs: number) => {
      relay.add(entry.take(nowMs), nowMs);
      holder.addReports(relay.take(nowMs + 200), nowMs + 200);
      return holder.snapshot(nowMs + 200)['claims']!.left;
    };
    entry.note('claims', 5_000, 5_000);
    expect(leftAt(1_000)).toBe(4_000);
    entry.note('claims', 2_000, 2_000);
    entry.refund('claims', 5_000, 1_000);
    expect(leftAt(4_000)).toBe(7_000);
    entry.note('claims', 100, 100);
    expect(leftAt(10_000)).toBe(6_900);
  });

  // Guards against refunds that a release without their times reports.
  it('counts a refund without a time as one of now', () => {
    const holder = startHolder();
    const counts = {organisation: 'claims', asked: 0};
    holder.addReports([{...counts, used: 5_000}], 1_000);
    holder.addReports([{...counts, used: -5_000}], 2_000);
    expect(holder.snapshot(2_000)['claims']!.left).toBe(9_000);
  });

  // Guards against refusing callers below the cap after a partition: use that is
  // reported late counts as of now, so its refunds must not count as earlier.
  it('does not report refunds of use that was never reported', () => {
    const holder = startHolder();
    const entry = new UsageMeter();
    for (let nowMs = 100; nowMs <= 5_000; nowMs += 100) {
      entry.note('claims', 200, 200);
      entry.refund('claims', 180, nowMs);
    }
    const reports = entry.take(5_000);
    expect(reports[0]!.refunds ?? []).toHaveLength(0);
    holder.addReports(reports, 5_000);
    // 1,000 of 9,000 have been used, and none of it leaves the window yet.
    for (const nowMs of [5_000, 9_000, 11_000, 12_500]) {
      holder.addReports([{organisation: 'claims', asked: 1, used: 0}], nowMs);
      const {left, freedPerSecond} = holder.snapshot(nowMs)['claims']!;
      expect(left).toBe(8_000);
      expect(freedPerSecond).toBeGreaterThanOrEqual(0);
    }
  });
});
