import {TARGETS, type DeploymentSpec} from './deployments.js';
import {EventQueue} from './eventQueue.js';
import {Catalog} from './fakes/catalog.js';
import type {LedgerContext} from './fakes/copyLedger.js';
import {FakeAgent} from './fakes/fakeAgent.js';
import {FakeEntry} from './fakes/fakeEntry.js';
import {FakePlanner} from './fakes/fakePlanner.js';
import {FakeRetirementLog} from './fakes/fakeRetirementLog.js';
import {FakeWeightStore} from './fakes/fakeWeightStore.js';
import {initialPlacement} from './initialPlacement.js';
import {RunMetrics, type RunResult} from './metrics.js';
import {createRandom} from './random.js';
import {
  DURATION_MS,
  EVENT_MS,
  lostRunners,
  type Loss,
  type Scenario,
} from './scenarios.js';
import type {TraceRequest} from './trace.js';
import type {Policy} from './types.js';

const REPORT_PERIOD_MS = 500;
const SAMPLE_PERIOD_MS = 5_000;
/** Without a first token this long past the target callers ask again. */
const PATIENCE_MS = 5_000;
const MAX_ASKS = 3;
const ASKS_AGAIN_SHARE = 0.7;
const RETRY_AFTER_DEFAULT_MS = 1_000;
const OLD_VERSION_GRACE_MS = 200_000;
const DRAIN_MS = 60_000;

/** Runs one policy over one trace on a virtual clock. */
export function simulateRun(
  deployment: DeploymentSpec,
  scenario: Scenario,
  policy: Policy,
  trace: readonly TraceRequest[],
  seed: number,
): RunResult {
  return new Run(deployment, scenario, policy, seed).play(trace);
}

class Run {
  private readonly events = new EventQueue();
  private readonly metrics = new RunMetrics();
  private readonly random;
  private readonly catalog: Catalog;
  private readonly agents = new Map<string, FakeAgent>();
  private readonly entries: FakeEntry[];

  constructor(
    private readonly deployment: DeploymentSpec,
    private readonly scenario: Scenario,
    private readonly policy: Policy,
    seed: number,
  ) {
    this.random = createRandom(seed + 1_000);
    this.catalog = new Catalog(deployment);
    this.makeAgents();
    this.seedCopies();
    this.entries = Array.from({length: deployment.entries}, (_, index) =>
      this.makeEntry(index),
    );
    new FakePlanner({
      events: this.events,
      agents: this.agents,
      entries: this.entries,
      catalog: this.catalog,
      placement: policy.createPlacement(deployment),
      oneWayMs: deployment.oneWayMs,
    });
  }

  play(trace: readonly TraceRequest[]): RunResult {
    this.events.every(REPORT_PERIOD_MS, () => this.sendReports());
    this.scheduleFaults();
    this.events.every(SAMPLE_PERIOD_MS, () => this.sampleCopies());
    for (const request of trace) {
      this.events.at(request.atMs, () => this.ask(request, 1));
    }
    this.events.runUntil(DURATION_MS + DRAIN_MS);
    return this.metrics.result(this.deployment.runners.length);
  }

  private makeAgents(): void {
    const {events, scenario, deployment} = this;
    const context: LedgerContext = {
      events,
      faults: scenario.faults,
      random: createRandom(Math.floor(this.random() * 1e6)),
      store: new FakeWeightStore(events, {
        loadsPerSecond: deployment.loadsPerSecond,
        loadsAtOnce: deployment.loadsAtOnce,
        slowdown: scenario.faults.storeSlowdown,
      }),
      log: new FakeRetirementLog(() => scenario.faults.logOut),
      isLabelled: artifact => this.catalog.isLabelled(artifact),
      countMove: () => {
        this.metrics.moves += 1;
      },
    };
    for (const {vmId, failureDomain, role} of deployment.runners) {
      const agent = new FakeAgent(
        vmId,
        failureDomain,
        role,
        context,
        this.policy.admission,
      );
      this.agents.set(vmId, agent);
    }
  }

  private seedCopies(): void {
    for (const [vmId, models] of initialPlacement(this.deployment)) {
      const {ledger} = this.agents.get(vmId)!;
      for (const {artifact, bytes, model} of this.catalog.all()) {
        if (models.includes(model)) ledger.seed(artifact, bytes);
      }
    }
  }

  private makeEntry(index: number): FakeEntry {
    const domains = this.deployment.runners.map(r => r.failureDomain);
    return new FakeEntry(
      {
        events: this.events,
        agents: this.agents,
        catalog: this.catalog,
        routing: this.policy.createRouting(this.random),
        random: this.random,
        oneWayMs: this.deployment.oneWayMs,
      },
      domains[index % domains.length]!,
    );
  }

  private sendReports(): void {
    const {reportLagMs, reportLossShare} = this.scenario.faults;
    for (const agent of this.agents.values()) {
      if (!agent.isUp) continue;
      const snapshot = agent.snapshot();
      for (const entry of this.entries) {
        if (this.random() < reportLossShare) continue;
        this.events.after(reportLagMs, () =>
          entry.tracker.receiveReport(snapshot),
        );
      }
    }
    for (const entry of this.entries) entry.tracker.refreshReachable();
  }

  private sampleCopies(): void {
    if (this.events.nowMs > DURATION_MS) return;
    const up = [...this.agents.values()].filter(({isUp}) => isUp);
    const missing = this.catalog
      .all()
      .filter(
        ({artifact}) => !up.some(({ledger}) => ledger.held.has(artifact)),
      );
    this.metrics.sampleWithoutCopy(missing.length);
  }

  private scheduleFaults(): void {
    const {lose, rollout, replacedAfterMs} = this.scenario.faults;
    const lost = this.lostAgents(lose);
    this.events.at(EVENT_MS, () => {
      for (const agent of lost) agent.fail();
      if (rollout) this.catalog.publishNext();
    });
    this.events.at(EVENT_MS + replacedAfterMs, () => {
      for (const agent of lost) agent.isUp = true;
    });
  }

  private lostAgents(loss: Loss): FakeAgent[] {
    return lostRunners(this.deployment, loss).map(({vmId}) =>
      this.agents.get(vmId)!,
    );
  }

  /** One ask; a refusal or a long silence makes some callers ask again. */
  private ask(request: TraceRequest, askNumber: number): void {
    const {events, metrics} = this;
    const isFirst = askNumber === 1;
    const target = TARGETS[request.kind];
    const askedMs = events.nowMs;
    let answeredMs = Infinity;
    let isFinal = false;
    let artifact = '';
    if (isFirst) metrics.asked(request.kind);
    const askAgain = (delayMs: number): void => {
      const persists = request.persistence < ASKS_AGAIN_SHARE;
      if (!persists || askNumber >= MAX_ASKS) return;
      events.after(delayMs, () => this.ask(request, askNumber + 1));
    };
    events.after(target.firstTokenMs + PATIENCE_MS, () => {
      if (!isFinal && answeredMs === Infinity) askAgain(0);
    });
    this.entries[request.entry]!.ask(request, {
      onFirstToken: servedBy => {
        artifact = servedBy;
        answeredMs = events.nowMs;
        if (isFirst) metrics.firstToken(answeredMs - askedMs);
      },
      onDone: () => {
        isFinal = true;
        const inTime =
          answeredMs - askedMs <= target.firstTokenMs &&
          events.nowMs - askedMs <= target.wholeMs;
        if (isFirst && inTime && !this.isTooOld(artifact)) {
          metrics.attained(request.kind);
        }
      },
      onRefused: (_code, retryAfterMs) => {
        isFinal = true;
        if (isFirst) metrics.refusedOnce();
        askAgain(retryAfterMs > 0 ? retryAfterMs : RETRY_AFTER_DEFAULT_MS);
      },
      onBroken: () => {
        isFinal = true;
        askAgain(RETRY_AFTER_DEFAULT_MS);
      },
    });
  }

  private isTooOld(artifact: string): boolean {
    const graceOverMs = EVENT_MS + OLD_VERSION_GRACE_MS;
    return this.events.nowMs > graceOverMs && this.catalog.isOutdated(artifact);
  }
}
