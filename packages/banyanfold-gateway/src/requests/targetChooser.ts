import {chooseRunner, type Affinity} from '@banyanfold/decisions';
import type {GatewayContext} from '../context.js';
import type {InferenceRequest, RunnerRegistration} from '../types.js';
import {workOf} from './workOf.js';

/** The runner that a request is to go to. */
export interface Target {
  runner: RunnerRegistration;
  needsAdapter: boolean;
  reason: string;
}

/** Why there is no target: how many runners are left at each condition. */
export interface CandidateCounts {
  runners: number;
  staying: number;
  holding: number;
  reached: number;
}

export interface TargetChooserOptions {
  context: GatewayContext;
  request: InferenceRequest;
  service: string;
}

/** Chooses runners for one request, from what the view says at the time. */
export class TargetChooser {
  private readonly rejectedBy = new Set<string>();
  /** Runners whose limits leave no room for the request, and until when. */
  private readonly rateLimitedUntilMs = new Map<string, number>();

  constructor(private readonly options: TargetChooserOptions) {}

  /**
   * Undefined while no runner can take the request.
   *
   * @param only the one runner that it may go to.
   */
  choose(only?: string): Target | undefined {
    const {context} = this.options;
    const serving = this.serving().filter(
      ({runnerId}) =>
        (only === undefined || runnerId === only) &&
        !this.isRateLimited(runnerId),
    );
    const fresh = serving.filter(r => !this.rejectedBy.has(r.runnerId));
    const choices = (fresh.length > 0 ? fresh : serving).map(runner => ({
      runnerId: runner.runnerId,
      failureDomain: runner.failureDomain,
      openWork: context.states.openWork(runner.runnerId),
      hasAdapter: this.hasAdapter(runner.runnerId),
      isSuspect:
        context.states.isEjected(runner.runnerId) ||
        context.gate.isStalled(runner.runnerId),
    }));
    const chosen = chooseRunner(
      choices,
      this.affinity(),
      context.failureDomain,
      {work: this.comingWork(), random: context.random},
    );
    const runner = chosen && context.view.runner(chosen.runnerId);
    if (!chosen || !runner) return undefined;
    return {
      runner,
      needsAdapter: !this.hasAdapter(runner.runnerId),
      reason: chosen.reason,
    };
  }

  /** Runners that can take the request, the one with the least work first. */
  byOpenWork(): string[] {
    const {states} = this.options.context;
    const runnerIds = this.serving()
      .map(({runnerId}) => runnerId)
      .filter(runnerId => !this.isRateLimited(runnerId));
    return runnerIds.sort((a, b) => states.openWork(a) - states.openWork(b));
  }

  /** Others go before a runner that turned the request away. */
  noteRejected(runnerId: string): void {
    this.rejectedBy.add(runnerId);
  }

  /** The runner's limit leaves no room for the request for so long. */
  noteRateLimited(runnerId: string, forMs: number): void {
    const {clock} = this.options.context;
    this.rateLimitedUntilMs.set(runnerId, clock.nowMs() + forMs);
  }

  /**
   * Until the first of the runners that could take the request has room for it;
   * undefined where limits aren't what it waits for.
   */
  rateLimitedForMs(): number | undefined {
    const nowMs = this.options.context.clock.nowMs();
    const waits = this.serving()
      .filter(({runnerId}) => this.isRateLimited(runnerId))
      .map(({runnerId}) => this.rateLimitedUntilMs.get(runnerId)! - nowMs);
    return waits.length > 0 ? Math.min(...waits) : undefined;
  }

  private isRateLimited(runnerId: string): boolean {
    const untilMs = this.rateLimitedUntilMs.get(runnerId);
    if (untilMs === undefined) return false;
    return untilMs > this.options.context.clock.nowMs();
  }

  hasRejected({runnerId}: RunnerRegistration): boolean {
    return this.rejectedBy.has(runnerId);
  }

  /** The view may have changed while an adapter was on its way. */
  isStillUsable({runnerId}: RunnerRegistration): boolean {
    const runner = this.options.context.view.runner(runnerId);
    return runner !== undefined && !runner.leaving;
  }

  counts(): CandidateCounts {
    const {context, service} = this.options;
    const staying = this.staying();
    const holding = this.holding(staying);
    return {
      runners: context.view.runnersOf(service).length,
      staying: staying.length,
      holding: holding.length,
      reached: this.reachable(holding).length,
    };
  }

  private serving(): RunnerRegistration[] {
    const {held} = this.options.context;
    return this.reachable(this.holding(this.staying())).filter(
      ({runnerId}) => this.hasAdapter(runnerId) || held.canFetch(runnerId),
    );
  }

  private staying(): RunnerRegistration[] {
    const {context, service} = this.options;
    return context.view.runnersOf(service).filter(({leaving}) => !leaving);
  }

  private holding(runners: RunnerRegistration[]): RunnerRegistration[] {
    const {context, request} = this.options;
    const {model} = request;
    if (model === undefined) return runners;
    return runners.filter(({runnerId}) =>
      context.held.holdsModel(runnerId, model),
    );
  }

  private reachable(runners: RunnerRegistration[]): RunnerRegistration[] {
    const {states} = this.options.context;
    return runners.filter(({runnerId}) => !states.isUnreachable(runnerId));
  }

  private hasAdapter(runnerId: string): boolean {
    const {context, request} = this.options;
    const {model, adapter} = request;
    if (model === undefined || adapter === undefined) return true;
    return context.held.holdsAdapter(runnerId, model, adapter);
  }

  /** What all entries will send until this one hears of it. */
  private comingWork(): number {
    const {context, request} = this.options;
    const {model} = request;
    if (model === undefined) return 0;
    const {ageMs} = context.held;
    if (!Number.isFinite(ageMs)) return 0;
    const unheardMs = ageMs + context.options.exchangeIntervalMs;
    return context.coming.within(model, context.entries(), unheardMs);
  }

  /** What the request shares with others; undefined for a plain call. */
  private affinity(): Affinity | undefined {
    const {model, adapter, promptParts} = this.options.request;
    if (model === undefined) return undefined;
    // The last part is the request's own.
    const shared = promptParts.slice(0, -1);
    const sharedTokens = shared.reduce((sum, {tokens}) => sum + tokens, 0);
    const {read} = workOf({
      requests: 1,
      promptTokens: sharedTokens,
      outputTokens: 0,
    });
    // An adapter's places are fewer than the prompts that are read with it.
    const what = adapter ?? shared.map(({partId}) => partId).join(',');
    return {key: `${model}/${what}`, sharedWork: sharedTokens > 0 ? read : 0};
  }
}
