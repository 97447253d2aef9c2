import type {AgentReport} from '@banyanfold/protocol';

const MS_PER_SECOND = 1000;

/** Counts of one source, by artifact; they start again when it restarts. */
interface CounterSource {
  incarnation: number;
  counts: Record<string, number>;
}

/** Measures demand for each artifact from counters that only rise. */
export class DemandMeter {
  private readonly served = new Map<string, CounterSource>();
  private readonly missed = new Map<string, CounterSource>();
  /** Since the last window was closed. */
  private readonly newRequests = new Map<string, number>();
  /** Since the last decision took them, which need not be the same moment. */
  private readonly untakenMisses = new Map<string, number>();
  private readonly ratePerSecond = new Map<string, number>();
  private lastMs: number | undefined;

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
    addCounts(this.untakenMisses, increases);
  }

  /** Ends a window; what came since the last one enters the rates. */
  endWindow(nowMs: number): void {
    const elapsedMs = nowMs - (this.lastMs ?? nowMs);
    this.lastMs = nowMs;
    if (elapsedMs > 0) this.smooth(elapsedMs);
    this.newRequests.clear();
  }

  /** Smoothed requests a second, answered ones and missed ones. */
  demandPerSecond(artifact: string): number {
    return this.ratePerSecond.get(artifact) ?? 0;
  }

  /** Requests refused for lack of a copy since the last call. */
  takeMisses(): Map<string, number> {
    const misses = new Map(this.untakenMisses);
    this.untakenMisses.clear();
    return misses;
  }

  private smooth(elapsedMs: number): void {
    const kept = 0.5 ** (elapsedMs / this.halfLifeMs);
    const perSecond = MS_PER_SECOND / elapsedMs;
    const artifacts = new Set([
      ...this.ratePerSecond.keys(),
      ...this.newRequests.keys(),
    ]);
    for (const artifact of artifacts) {
      const count = this.newRequests.get(artifact) ?? 0;
      const before = this.ratePerSecond.get(artifact) ?? 0;
      const rate = before * kept + count * perSecond * (1 - kept);
      this.ratePerSecond.set(artifact, rate);
    }
  }
}

/**
 * What a source counted since it was last seen. A source seen for the first
 * time counts nothing: its whole past would look like a burst of now.
 */
function takeIncreases(
  sources: Map<string, CounterSource>,
  vmId: string,
  source: CounterSource,
): Map<string, number> {
  const increases = new Map<string, number>();
  const known = sources.get(vmId);
  sources.set(vmId, source);
  if (!known || known.incarnation > source.incarnation) return increases;
  const restarted = known.incarnation !== source.incarnation;
  for (const [artifact, count] of Object.entries(source.counts)) {
    const before = restarted ? 0 : (known.counts[artifact] ?? 0);
    // A peer entry that restarted shows a lower count and no incarnation.
    const increase = count >= before ? count - before : count;
    if (increase > 0) increases.set(artifact, increase);
  }
  return increases;
}

function addCounts(
  into: Map<string, number>,
  counts: ReadonlyMap<string, number>,
): void {
  for (const [artifact, count] of counts) {
    into.set(artifact, (into.get(artifact) ?? 0) + count);
  }
}
