import {
  applyReportChanges,
  type AgentReport,
  type LoadDigest,
  type ReportChanges,
  type ReportCursor,
} from '@banyanfold/protocol';
import type {RunnerOutcomes, RunnerView} from '@banyanfold/decisions';
import type {Vm} from '@banyanfold/log';

/** How much one new first-token time counts against the earlier ones. */
const FIRST_TOKEN_WEIGHT = 0.2;

/** An agent doesn't restart more often than reports can be late. */
const MAX_PAST_INCARNATIONS = 16;

type MutableRunnerView = {
  -readonly [K in keyof RunnerView]: RunnerView[K];
};

/** All that this entry knows of one agent and its runner. */
export class AgentState {
  /** What routing sees; changed in place, so that routing copies nothing. */
  readonly runner: MutableRunnerView;
  report: AgentReport | undefined;
  digest: LoadDigest | undefined;
  failedReports = 0;
  private vmLeaving = false;
  private readonly pastIncarnations = new Set<number>();
  private readonly unreported = new Set<string>();
  private outcomes = {successes: 0, failures: 0, firstTokenMs: 0};

  constructor(public vm: Vm) {
    this.runner = newRunnerView(vm);
    this.setVm(vm);
  }

  get vmId(): string {
    return this.vm.vmId;
  }

  /** The incarnation to address; 0 before the first report. */
  get incarnation(): number {
    return this.digest?.incarnation ?? 0;
  }

  /** Takes what the VM list says; it may say "leaving" before the agent. */
  setVm(vm: Vm): void {
    this.vm = vm;
    this.vmLeaving = vm.state === 'leaving';
    this.runner.leaving = this.vmLeaving || this.digest?.leaving === true;
  }

  /** The report held, which the next answer may build on. */
  reportCursor(): ReportCursor | undefined {
    if (!this.report) return undefined;
    const {incarnation, sequence} = this.report;
    return {incarnation, sequence};
  }

  applyReport(answer: AgentReport | ReportChanges, nowMs: number): void {
    this.failedReports = 0;
    // Answers may have brought newer digests while this report travelled; its
    // copies are still the newest known. Dropping it for that would keep a
    // busy agent's copies unknown for ever.
    this.applyDigest(answer, nowMs);
    if (answer.incarnation !== this.incarnation) return;
    const held = this.report;
    if (held && this.isOlder(answer, held)) return;
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
   * Takes a digest, unless it is older than the one known: answers overtake
   * each other, and an old digest would bring back an old queue.
   */
  applyDigest(digest: LoadDigest, nowMs: number): boolean {
    if (this.digest && this.isOlder(digest, this.digest)) return false;
    if (digest.incarnation !== this.incarnation) {
      this.forgetIncarnation(digest.incarnation);
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
    this.unreported.clear();
    this.runner.ownUnreported = 0;
    return true;
  }

  reportFailed(unreachableAfter: number): void {
    this.failedReports++;
    if (this.failedReports >= unreachableAfter) this.runner.reachable = false;
  }

  attemptSent(attemptId: string): void {
    this.unreported.add(attemptId);
    this.runner.ownUnreported = this.unreported.size;
  }

  attemptEnded(attemptId: string): void {
    this.unreported.delete(attemptId);
    this.runner.ownUnreported = this.unreported.size;
  }

  recordSuccess(): void {
    this.outcomes.successes++;
  }

  recordFirstToken(tookMs: number): void {
    const {outcomes} = this;
    const isFirst = outcomes.firstTokenMs === 0;
    const weight = isFirst ? 1 : FIRST_TOKEN_WEIGHT;
    outcomes.firstTokenMs += weight * (tookMs - outcomes.firstTokenMs);
  }

  recordFailure(): void {
    this.outcomes.failures++;
  }

  readOutcomes(): RunnerOutcomes {
    const {ejectedUntilMs} = this.runner;
    return {vmId: this.vmId, ejectedUntilMs, ...this.outcomes};
  }

  /** Lets outcomes so far count less; the smoothed time is kept. */
  decayOutcomes(factor: number): void {
    this.outcomes.successes *= factor;
    this.outcomes.failures *= factor;
  }

  eject(untilMs: number): void {
    this.runner.ejectedUntilMs = untilMs;
    this.outcomes = {successes: 0, failures: 0, firstTokenMs: 0};
  }

  /** A new process beside the same server: its copies are not known yet. */
  /**
   * A late report of a process that is gone must not bring its copies back. Its
   * number alone doesn't tell: a process that started while the log was out
   * has a provisional, negative one, and is newer than one with a number. So
   * incarnations that were left are remembered, and only two with numbers from
   * the log are compared.
   */
  private isOlder(digest: LoadDigest, known: LoadDigest): boolean {
    if (digest.incarnation === known.incarnation) {
      return digest.sequence <= known.sequence;
    }
    if (this.pastIncarnations.has(digest.incarnation)) return true;
    if (digest.incarnation < 0 || known.incarnation < 0) return false;
    return digest.incarnation < known.incarnation;
  }

  private rememberIncarnation(): void {
    if (this.incarnation === 0) return;
    this.pastIncarnations.add(this.incarnation);
    if (this.pastIncarnations.size <= MAX_PAST_INCARNATIONS) return;
    const [oldest = 0] = this.pastIncarnations;
    this.pastIncarnations.delete(oldest);
  }

  private forgetIncarnation(next: number): void {
    this.rememberIncarnation();
    // A process that got its number from the log holds what it held; without
    // its copies it would be no candidate until the next poll.
    if (this.incarnation < 0 && next > 0) return;
    this.report = undefined;
    this.runner.artifacts = new Set();
    this.runner.cachedPrefixes = new Set();
  }
}

/** Copies that can serve now, and the plain services beside the engine. */
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
