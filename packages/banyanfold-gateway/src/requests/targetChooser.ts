import {
  choosePlainRunner,
  chooseRunner,
  type Affinity,
  type ChosenRunner,
} from '@banyanfold/decisions';
import type {GatewayContext} from '../context.js';
import type {InferenceRequest, RunnerRegistration} from '../types.js';
import {versionOf} from '../streams/softwareVersion.js';
import {workOf} from './workOf.js';

/** The runner chosen for an attempt, and why. */
export interface Target {
  runner: RunnerRegistration;
  needsAdapter: boolean;
  reason: string;
}

/** How many runners of the service remain after each filter, for the log. */
export interface CandidateCounts {
  runners: number;
  staying: number;
  holding: number;
  reached: number;
}

/** Why no runner that could take a request takes it now, and for how long. */
export interface PausedState {
  reason: 'runner-limit' | 'runner-backoff';
  /** Time until the first of them takes it, in ms. */
  forMs: number;
}

export interface TargetChooserOptions {
  context: GatewayContext;
  request: InferenceRequest;
  service: string;
}

/** Chooses runners for one request from the current view of the fleet. */
export class TargetChooser {
  /**
   * Only runners of this software version are chosen; undefined while any may
   * be.
   */
  requiredVersion: string | undefined;
  private readonly rejectedBy = new Set<string>();
  /** Runners whose rate limits admit no request, and until when. */
  private readonly rateLimitedUntilMs = new Map<string, number>();

  constructor(private readonly options: TargetChooserOptions) {}

  /**
   * Chooses the runner for the next attempt; undefined while none can take it.
   *
   * @param onlyRunnerId restricts the choice to this runner.
   */
  choose(onlyRunnerId?: string): Target | undefined {
    const {context} = this.options;
    const eligible = this.eligibleRunners().filter(
      runner =>
        (onlyRunnerId === undefined || runner.runnerId === onlyRunnerId) &&
        this.pauseOf(runner) === undefined,
    );
    const untried = eligible.filter(r => !this.rejectedBy.has(r.runnerId));
    const candidates = untried.length > 0 ? untried : eligible;
    const chosen = this.chooseFrom(candidates);
    const runner = chosen && context.view.runner(chosen.runnerId);
    if (!chosen || !runner) return undefined;
    return {
      runner,
      needsAdapter: !this.hasAdapter(runner.runnerId),
      reason: chosen.reason,
    };
  }

  private chooseFrom(
    runners: readonly RunnerRegistration[],
  ): ChosenRunner | undefined {
    const {context, request} = this.options;
    const {failureDomain, random, runnerStates, capacities} = context;
    const candidates = runners.map(runner => ({
      runnerId: runner.runnerId,
      failureDomain: runner.failureDomain,
      speed: capacities.speed(runner.runnerId),
      isSuspect:
        runnerStates.isEjected(runner.runnerId) ||
        context.promptGate.isStalled(runner.runnerId),
    }));
    if (request.model === undefined) {
      const plain = candidates.map(candidate => ({
        ...candidate,
        ...runnerStates.plainLoad(candidate.runnerId),
      }));
      return choosePlainRunner(plain, {failureDomain, random});
    }
    const loaded = candidates.map(candidate => ({
      ...candidate,
      openWork: runnerStates.openWork(candidate.runnerId),
      hasAdapter: this.hasAdapter(candidate.runnerId),
    }));
    const arrivals = {work: this.expectedWork(), random};
    return chooseRunner(loaded, this.affinity(), failureDomain, arrivals);
  }

  /** Runners that can take the request, by open work in ascending order. */
  eligibleByOpenWork(): string[] {
    const {runnerStates} = this.options.context;
    const runnerIds = this.eligibleRunners()
      .filter(runner => this.pauseOf(runner) === undefined)
      .map(({runnerId}) => runnerId);
    return runnerIds.sort(
      (a, b) => runnerStates.openWork(a) - runnerStates.openWork(b),
    );
  }

  /** Runners that rejected the request are chosen only if no other is left. */
  noteRejected(runnerId: string): void {
    this.rejectedBy.add(runnerId);
  }

  /** Excludes a runner until its rate limit admits another request. */
  noteRateLimited(runnerId: string, forMs: number): void {
    const {clock} = this.options.context;
    this.rateLimitedUntilMs.set(runnerId, clock.nowMs() + forMs);
  }

  /**
   * The pause that ends first; undefined if a runner that could take the
   * request isn't paused, or there is none.
   */
  pausedState(): PausedState | undefined {
    let first: PausedState | undefined;
    for (const runner of this.eligibleRunners()) {
      const paused = this.pauseOf(runner);
      if (!paused) return undefined;
      if (!first || paused.forMs < first.forMs) first = paused;
    }
    return first;
  }

  /** The longer one of a runner's pauses; undefined if it has none. */
  private pauseOf(runner: RunnerRegistration): PausedState | undefined {
    const {clock, runnerBackoffs} = this.options.context;
    const backoffMs = runnerBackoffs.remainingMs(runner);
    const limitedUntilMs = this.rateLimitedUntilMs.get(runner.runnerId) ?? 0;
    const limitedMs = Math.max(0, limitedUntilMs - clock.nowMs());
    if (backoffMs === 0 && limitedMs === 0) return undefined;
    return backoffMs >= limitedMs
      ? {reason: 'runner-backoff', forMs: backoffMs}
      : {reason: 'runner-limit', forMs: limitedMs};
  }

  hasRejected({runnerId}: RunnerRegistration): boolean {
    return this.rejectedBy.has(runnerId);
  }

  /**
   * Checks again, as the runner may have left or asked for a pause while the
   * request waited for an adapter, its turn or a connection.
   */
  isStillUsable({runnerId}: RunnerRegistration): boolean {
    const {view, viewFreshness, runnerBackoffs} = this.options.context;
    if (!viewFreshness.check()) return false;
    const runner = view.runner(runnerId);
    const isStaying = runner !== undefined && !runner.leaving;
    if (!isStaying || !this.hasRequiredVersion(runner)) return false;
    return runnerBackoffs.remainingMs(runner) === 0;
  }

  /**
   * Whether runners hold the model, but none of the required version. Copies are
   * planned by model only, so none is on its way.
   */
  get isHeldByOtherVersionsOnly(): boolean {
    const {context, service, request} = this.options;
    const {requiredVersion} = this;
    if (requiredVersion === undefined || request.model === undefined) {
      return false;
    }
    const staying = context.view
      .runnersOf(service)
      .filter(({leaving}) => !leaving);
    const holding = this.withModel(staying);
    return (
      holding.length > 0 &&
      !holding.some(runner => this.hasRequiredVersion(runner))
    );
  }

  candidateCounts(): CandidateCounts {
    const {context, service} = this.options;
    const staying = this.remainingRunners();
    const holding = this.withModel(staying);
    return {
      runners: context.view.runnersOf(service).length,
      staying: staying.length,
      holding: holding.length,
      reached: this.reachableRunners(holding).length,
    };
  }

  private eligibleRunners(): RunnerRegistration[] {
    const {heldCopies} = this.options.context;
    return this.reachableRunners(
      this.withModel(this.remainingRunners()),
    ).filter(
      ({runnerId}) =>
        this.hasAdapter(runnerId) || heldCopies.canFetch(runnerId),
    );
  }

  private remainingRunners(): RunnerRegistration[] {
    const {context, service} = this.options;
    return context.view
      .runnersOf(service)
      .filter(runner => !runner.leaving && this.hasRequiredVersion(runner));
  }

  private hasRequiredVersion(runner: RunnerRegistration): boolean {
    const {requiredVersion} = this;
    return (
      requiredVersion === undefined || versionOf(runner) === requiredVersion
    );
  }

  private withModel(runners: RunnerRegistration[]): RunnerRegistration[] {
    const {context, request} = this.options;
    const {model} = request;
    if (model === undefined) return runners;
    return runners.filter(({runnerId}) =>
      context.heldCopies.holdsModel(runnerId, model),
    );
  }

  private reachableRunners(
    runners: RunnerRegistration[],
  ): RunnerRegistration[] {
    const {runnerStates} = this.options.context;
    return runners.filter(
      ({runnerId}) => !runnerStates.isUnreachable(runnerId),
    );
  }

  private hasAdapter(runnerId: string): boolean {
    const {context, request} = this.options;
    const {model, adapter} = request;
    if (model === undefined || adapter === undefined) return true;
    return context.heldCopies.holdsAdapter(runnerId, model, adapter);
  }

  /** Work that all entries send before this entry learns of it. */
  private expectedWork(): number {
    const {context, request} = this.options;
    const {model} = request;
    if (model === undefined) return 0;
    const {ageMs} = context.heldCopies;
    if (!Number.isFinite(ageMs)) return 0;
    const unseenMs = ageMs + context.options.exchangeIntervalMs;
    return context.workForecast.expectedWork(
      model,
      context.entryCount(),
      unseenMs,
    );
  }

  /** What the request shares with others; undefined for a plain service. */
  private affinity(): Affinity | undefined {
    const {context, request} = this.options;
    const {model, adapter, promptParts, promptTokens} = request;
    if (model === undefined) return undefined;
    // The last prompt part is unique to the request.
    const shared = promptParts.slice(0, -1);
    const sharedTokens = shared.reduce((sum, {tokens}) => sum + tokens, 0);
    const {prefill} = workOf({
      requests: 1,
      promptTokens: sharedTokens,
      outputTokens: 0,
    });
    // With an adapter, requests are grouped by it alone: a runner has fewer
    // adapter slots than there are prompts that use the adapter. A prompt that
    // shares nothing has an order of the runners of its own.
    const affinityId =
      adapter ??
      (shared.length > 0
        ? shared.map(({partId}) => partId).join(',')
        : String(context.random()));
    return {
      key: `${model}/${affinityId}`,
      sharedWork: sharedTokens > 0 ? prefill : 0,
      promptWork:
        promptTokens > 0
          ? workOf({requests: 1, promptTokens, outputTokens: 0}).prefill
          : 0,
    };
  }
}
