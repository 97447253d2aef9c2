import {
  applyReportChanges,
  type AgentReport,
  type LoadDigest,
  type ReportChanges,
  type ReportCursor,
} from '@banyanfold/protocol';
import type {RunnerOutcomes, RunnerView} from '@banyanfold/decisions';
import type {Vm} from '@banyanfold/log';

/** Weight of a new sample in the smoothed first-token time. */
const FIRST_TOKEN_SMOOTHING = 0.2;

/** An agent restarts less often than this while a report is in flight. */
const MAX_PREVIOUS_INCARNATIONS = 16;

type MutableRunnerView = {
  -readonly [K in keyof RunnerView]: RunnerView[K];
};

/** What this entry knows about one agent and its runner. */
export class AgentState {
  /** The view for routing, updated in place to avoid copies per request. */
  readonly runner: MutableRunnerView;
  report: AgentReport | undefined;
  digest: LoadDigest | undefined;
  failedReports = 0;
  private vmLeaving = false;
  private readonly previousIncarnations = new Set<number>();
  private readonly unreportedAttempts = new Set<string>();
  private outcomes = {successes: 0, failures: 0, firstTokenMs: 0};

  constructor(public vm: Vm) {
    this.runner = newRunnerView(vm);
    this.setVm(vm);
  }

  get vmId(): string {
    return this.vm.vmId;
  }

  /** The incarnation to send requests to; 0 before the first report. */
  get incarnation(): number {
    return this.digest?.incarnation ?? 0;
  }

  /** Applies the VM list, which may report "leaving" before the agent does. */
  setVm(vm: Vm): void {
    this.vm = vm;
    this.vmLeaving = vm.state === 'leaving';
    this.runner.leaving = this.vmLeaving || this.digest?.leaving === true;
  }

  /** Identifies the stored report, so that the agent can send only changes. */
  reportCursor(): ReportCursor | undefined {
    if (!this.report) return undefined;
    const {incarnation, sequence} = this.report;
    return {incarnation, sequence};
  }

  applyReport(answer: AgentReport | ReportChanges, nowMs: number): void {
    this.failedReports = 0;
    // Response headers may have carried newer digests while this report was in
    // flight, but its copies are still the newest known. If such reports were
    // dropped, the copies of a busy agent would stay unknown.
    this.applyDigest(answer, nowMs);
    if (answer.incarnation !== this.incarnation) return;
    const held = this.report;
    if (held && this.isStale(answer, held)) return;
    const report = applyReportChanges(held, answer);
    if (!report) return;
    this.report = report;
    this.runner.runnerRole = report.runnerRole;
    this.runner.maxRunning = report.maxRunning;
    this.runner.artifacts = servableArtifacts(report);
    if (report.cachedPrefixes === held?.cachedPrefixes) return;
    this.runner.cachedPrefixes = new Set(report.cachedPrefixes);
  }

  /**
   * Applies a digest unless it is stale: responses can arrive out of order, and
   * an older digest would restore an outdated queue length. Returns whether it
   * was applied.
   */
  applyDigest(digest: LoadDigest, nowMs: number): boolean {
    if (this.digest && this.isStale(digest, this.digest)) return false;
    if (digest.incarnation !== this.incarnation) {
      this.resetForIncarnation(digest.incarnation);
    }
    this.digest = digest;
    this.runner.reachable = true;
    this.runner.leaving = this.vmLeaving || digest.leaving;
    this.runner.reportReceivedMs = nowMs;
    this.runner.running = digest.running;
    this.runner.queued = digest.queued;
    this.runner.queueDelayMs = digest.queueDelayMs;
    this.runner.kvUsedBytes = digest.kvUsedBytes;
    this.runner.kvCapacityBytes = digest.kvCapacityBytes;
    this.unreportedAttempts.clear();
    this.runner.ownUnreported = 0;
    return true;
  }

  reportFailed(unreachableAfter: number): void {
    this.failedReports++;
    if (this.failedReports >= unreachableAfter) this.runner.reachable = false;
  }

  attemptSent(attemptId: string): void {
    this.unreportedAttempts.add(attemptId);
    this.runner.ownUnreported = this.unreportedAttempts.size;
  }

  attemptEnded(attemptId: string): void {
    this.unreportedAttempts.delete(attemptId);
    this.runner.ownUnreported = this.unreportedAttempts.size;
  }

  recordSuccess(): void {
    this.outcomes.successes++;
  }

  recordFirstToken(tookMs: number): void {
    const {outcomes} = this;
    const isFirst = outcomes.firstTokenMs === 0;
    const weight = isFirst ? 1 : FIRST_TOKEN_SMOOTHING;
    outcomes.firstTokenMs += weight * (tookMs - outcomes.firstTokenMs);
  }

  recordFailure(): void {
    this.outcomes.failures++;
  }

  readOutcomes(): RunnerOutcomes {
    const {ejectedUntilMs} = this.runner;
    return {vmId: this.vmId, ejectedUntilMs, ...this.outcomes};
  }

  /** Decays the counts of outcomes; the smoothed first-token time is kept. */
  decayOutcomes(factor: number): void {
    this.outcomes.successes *= factor;
    this.outcomes.failures *= factor;
  }

  eject(untilMs: number): void {
    this.runner.ejectedUntilMs = untilMs;
    this.outcomes = {successes: 0, failures: 0, firstTokenMs: 0};
  }

  /**
   * Whether a digest is older than the known one. A late report of a terminated
   * process must not restore its copies. Incarnations can't always be compared:
   * a process that started while the log was unavailable has a provisional,
   * negative incarnation, and is newer than a predecessor with a positive one.
   * So previous incarnations are remembered, and only two that the log assigned
   * are compared.
   */
  private isStale(digest: LoadDigest, known: LoadDigest): boolean {
    if (digest.incarnation === known.incarnation) {
      return digest.sequence <= known.sequence;
    }
    if (this.previousIncarnations.has(digest.incarnation)) return true;
    if (digest.incarnation < 0 || known.incarnation < 0) return false;
    return digest.incarnation < known.incarnation;
  }

  private recordPreviousIncarnation(): void {
    if (this.incarnation === 0) return;
    this.previousIncarnations.add(this.incarnation);
    if (this.previousIncarnations.size <= MAX_PREVIOUS_INCARNATIONS) return;
    const [oldest = 0] = this.previousIncarnations;
    this.previousIncarnations.delete(oldest);
  }

  private resetForIncarnation(next: number): void {
    this.recordPreviousIncarnation();
    // The same process has received its incarnation from the log and keeps its
    // copies; without them it would not be a candidate until the next poll. A
    // new process starts with no known copies.
    if (this.incarnation < 0 && next > 0) return;
    this.report = undefined;
    this.runner.artifacts = new Set();
    this.runner.cachedPrefixes = new Set();
  }
}

/** Artifacts of loaded copies, and services that run beside the engine. */
function servableArtifacts(report: AgentReport): Set<string> {
  const held = report.copies.filter(copy => copy.state === 'held');
  return new Set([...held.map(copy => copy.artifact), ...report.services]);
}

function newRunnerView(vm: Vm): MutableRunnerView {
  return {
    vmId: vm.vmId,
    failureDomain: vm.failureDomain,
    region: vm.region,
    runnerRole: '',
    reachable: false,
    leaving: false,
    ejectedUntilMs: 0,
    reportReceivedMs: 0,
    running: 0,
    queued: 0,
    queueDelayMs: 0,
    kvUsedBytes: 0,
    kvCapacityBytes: 0,
    ownUnreported: 0,
    artifacts: new Set(),
    cachedPrefixes: new Set(),
  };
}
