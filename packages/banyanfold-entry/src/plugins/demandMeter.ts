import type {AgentReport} from '@banyanfold/protocol';

const MS_PER_SECOND = 1000;

/** Counters of one source, by artifact; a restart resets them. */
interface CounterSnapshot {
  incarnation: number;
  counts: Record<string, number>;
}

/** Measures demand for each artifact from monotonic counters. */
export class DemandMeter {
  private readonly served = new Map<string, CounterSnapshot>();
  private readonly missed = new Map<string, CounterSnapshot>();
  /** Requests since the last window ended. */
  private readonly newRequests = new Map<string, number>();
  /** Misses since the last `takeMisses`, independent of the windows. */
  private readonly unreadMisses = new Map<string, number>();
  private readonly ratePerSecond = new Map<string, number>();
  private windowStartMs: number | undefined;

  constructor(private readonly halfLifeMs: number) {}

  recordReport(report: AgentReport): void {
    const {vmId, incarnation, servedCount} = report;
    const source = {incarnation, counts: servedCount};
    const increases = takeIncreases(this.served, vmId, source);
    addCounts(this.newRequests, increases);
  }

  recordMisses(vmId: string, counts: Record<string, number>): void {
    const source = {incarnation: 0, counts};
    const increases = takeIncreases(this.missed, vmId, source);
    addCounts(this.newRequests, increases);
    addCounts(this.unreadMisses, increases);
  }

  /** Ends a window and adds its requests to the smoothed rates. */
  endWindow(nowMs: number): void {
    const elapsedMs = nowMs - (this.windowStartMs ?? nowMs);
    this.windowStartMs = nowMs;
    if (elapsedMs > 0) this.smooth(elapsedMs);
    this.newRequests.clear();
  }

  /** The smoothed rate of requests, both served and missed. */
  demandPerSecond(artifact: string): number {
    return this.ratePerSecond.get(artifact) ?? 0;
  }

  /** Requests refused for lack of a copy since the last call, by artifact. */
  takeMisses(): Map<string, number> {
    const misses = new Map(this.unreadMisses);
    this.unreadMisses.clear();
    return misses;
  }

  private smooth(elapsedMs: number): void {
    const retainedShare = 0.5 ** (elapsedMs / this.halfLifeMs);
    const perSecond = MS_PER_SECOND / elapsedMs;
    const artifacts = new Set([
      ...this.ratePerSecond.keys(),
      ...this.newRequests.keys(),
    ]);
    for (const artifact of artifacts) {
      const count = this.newRequests.get(artifact) ?? 0;
      const previousRate = this.ratePerSecond.get(artifact) ?? 0;
      const rate =
        previousRate * retainedShare + count * perSecond * (1 - retainedShare);
      this.ratePerSecond.set(artifact, rate);
    }
  }
}

/**
 * Returns the increase of a source's counters since its last snapshot. The
 * first snapshot gives no increase: its whole history would look like a burst.
 */
function takeIncreases(
  sources: Map<string, CounterSnapshot>,
  vmId: string,
  source: CounterSnapshot,
): Map<string, number> {
  const increases = new Map<string, number>();
  const known = sources.get(vmId);
  sources.set(vmId, source);
  if (!known || known.incarnation > source.incarnation) return increases;
  const restarted = known.incarnation !== source.incarnation;
  for (const [artifact, count] of Object.entries(source.counts)) {
    const previousCount = restarted ? 0 : (known.counts[artifact] ?? 0);
    // A peer entry has no incarnation, so a lower count shows a restart.
    const increase = count >= previousCount ? count - previousCount : count;
    if (increase > 0) increases.set(artifact, increase);
  }
  return increases;
}

function addCounts(
  target: Map<string, number>,
  counts: ReadonlyMap<string, number>,
): void {
  for (const [artifact, count] of counts) {
    target.set(artifact, (target.get(artifact) ?? 0) + count);
  }
}
