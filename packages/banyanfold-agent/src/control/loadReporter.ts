import type {Clock} from '@banyanfold/core';
import {
  ReportHistory,
  type AgentReport,
  type Copy,
  type LoadDigest,
  type ReportChanges,
  type ReportCursor,
} from '@banyanfold/protocol';
import type {AdmissionQueue} from '../attempts/admissionQueue.js';
import type {Allocation} from '../memory/allocation.js';
import type {MemoryLedger} from '../memory/memoryLedger.js';
import type {AgentSettings} from '../settings.js';
import type {PrefixTracker} from './prefixTracker.js';

/** Options of {@link LoadReporter}. */
export interface LoadReporterOptions {
  settings: AgentSettings;
  clock: Clock;
  ledger: MemoryLedger;
  queue: AdmissionQueue;
  prefixes: PrefixTracker;
  incarnation(): number;
  isLeaving(): boolean;
  configVersion(): number;
  runnerRole(): string;
}

/** Creates the load digests and reports that entries base decisions on. */
export class LoadReporter {
  private sequence = 0;
  private readonly history = new ReportHistory();
  private readonly servedCount = new Map<string, number>();

  constructor(private readonly options: LoadReporterOptions) {}

  /** Counts a request that was served with the artifact. */
  countServed(artifact: string): void {
    const count = this.servedCount.get(artifact) ?? 0;
    this.servedCount.set(artifact, count + 1);
  }

  /** Creates a digest of the current load with the next sequence number. */
  digest(): LoadDigest {
    const {ledger, queue, incarnation, isLeaving} = this.options;
    return {
      incarnation: incarnation(),
      sequence: ++this.sequence,
      running: queue.runningCount(),
      queued: queue.queuedCount(),
      kvUsedBytes: ledger.budget.kvUsedBytes(),
      kvCapacityBytes: ledger.budget.kvCapacityBytes(),
      queueDelayMs: queue.queueDelayMs(),
      // No request is admitted until the KV cache use by the previous process's
      // requests is known. Requests sent here before would be refused for lack
      // of memory.
      leaving: isLeaving() || !ledger.isKvUseKnown(),
    };
  }

  /** Returns the changes since the caller's report, or the complete report. */
  reportSince(cursor: ReportCursor | undefined): AgentReport | ReportChanges {
    return this.history.answer(this.createReport(), cursor);
  }

  /**
   * Returns the complete report and records it, since the caller may later
   * request the changes since it.
   */
  report(): AgentReport {
    const report = this.createReport();
    this.history.observe(report);
    return report;
  }

  private createReport(): AgentReport {
    const {settings, ledger, prefixes, configVersion, runnerRole} =
      this.options;
    return {
      ...this.digest(),
      vmId: settings.vmId,
      failureDomain: settings.failureDomain,
      region: settings.region,
      runnerRole: runnerRole(),
      configVersion: configVersion(),
      memoryCapacityBytes: ledger.budget.capacityBytes(),
      memoryFreeBytes: ledger.budget.freeBytes(),
      maxRunning: settings.maxRunning,
      checksFencing: settings.engine.checksFencing,
      copies: ledger.all().map(allocation => this.toCopy(allocation)),
      services: settings.services.map(({name}) => name),
      servedCount: Object.fromEntries(this.servedCount),
      cachedPrefixes: prefixes.newestFirst(),
    };
  }

  /** A retiring copy is reported as releasing, so it gets no new requests. */
  private toCopy(allocation: Allocation): Copy {
    const {artifact, bytes, state, copyId, activeRequests, lastUsedAtMs} =
      allocation;
    const unusedMs = this.options.clock.nowMs() - lastUsedAtMs;
    const idleMs = activeRequests > 0 ? 0 : Math.round(unusedMs);
    const reportedState = allocation.isRetiring ? 'releasing' : state;
    return {artifact, bytes, state: reportedState, copyId, idleMs};
  }
}
