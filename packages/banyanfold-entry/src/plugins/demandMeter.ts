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
  private readonly newServed = new Map<string, number>();
  private readonly newMissed = new Map<string, number>();
  private readonly ratePerSecond = new Map<string, number>();
  private lastMs: number | undefined;

  constructor(private readonly halfLifeMs: number) {}

  noteReport(report: AgentReport): void {
    const {vmId, incarnation, servedCount} = report;
    const source = {incarnation, counts: servedCount};
    addIncreases(this.served, vmId, source, this.newServed);
  }

  noteMisses(vmId: string, counts: Record<string, number>): void {
    const source = {incarnation: 0, counts};
    addIncreases(this.missed, vmId, source, this.newMissed);
  }

  /** Ends a window; what came since the last one enters the rates. */
  close(nowMs: number): void {
    const elapsedMs = nowMs - (this.lastMs ?? nowMs);
    this.lastMs = nowMs;
    if (elapsedMs > 0) this.smooth(elapsedMs);
    this.newServed.clear();
  }

  /** Smoothed requests a second, answered ones and missed ones. */
  demandPerSecond(artifact: string): number {
    return this.ratePerSecond.get(artifact) ?? 0;
  }

  /** Requests refused for lack of a copy since the last call. */
  takeMisses(): Map<string, number> {
    const misses = new Map(this.newMissed);
    this.newMissed.clear();
    return misses;
  }

  private smooth(elapsedMs: number): void {
    const kept = 0.5 ** (elapsedMs / this.halfLifeMs);
    const perSecond = MS_PER_SECOND / elapsedMs;
    const artifacts = new Set([
      ...this.ratePerSecond.keys(),
      ...this.newServed.keys(),
      ...this.newMissed.keys(),
    ]);
    for (const artifact of artifacts) {
      const count =
        (this.newServed.get(artifact) ?? 0) +
        (this.newMissed.get(artifact) ?? 0);
      const before = this.ratePerSecond.get(artifact) ?? 0;
      const rate = before * kept + count * perSecond * (1 - kept);
      this.ratePerSecond.set(artifact, rate);
    }
  }
}

/**
 * Adds what a source counted since it was last seen. A source seen for the
 * first time adds nothing: its whole past would look like a burst of now.
 */
function addIncreases(
  sources: Map<string, CounterSource>,
  vmId: string,
  source: CounterSource,
  into: Map<string, number>,
): void {
  const known = sources.get(vmId);
  sources.set(vmId, source);
  if (!known || known.incarnation > source.incarnation) return;
  const restarted = known.incarnation !== source.incarnation;
  for (const [artifact, count] of Object.entries(source.counts)) {
    const before = restarted ? 0 : (known.counts[artifact] ?? 0);
    // A peer entry that restarted shows a lower count and no incarnation.
    const increase = count >= before ? count - before : count;
    if (increase > 0) into.set(artifact, (into.get(artifact) ?? 0) + increase);
  }
}
