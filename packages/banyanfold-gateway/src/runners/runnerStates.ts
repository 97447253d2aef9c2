import type {Clock, Logger} from '@banyanfold/core';
import {decideEjections, type RunnerOutcomes} from '@banyanfold/decisions';
import type {GatewayOptions} from '../options.js';
import type {Work} from '../requests/workOf.js';
import {OutcomeMeter} from './outcomeMeter.js';
import {PriorityMix} from './priorityMix.js';

/** Outcomes older than this say nothing of a runner's state now. */
const OUTCOME_WINDOW_MS = 4_000;
/** Engines of today read 38 to 41 thousand prompt tokens a second. */
const ASSUMED_WORK_PER_SECOND = 40;
/** With less ahead a first byte tells of the prompt, not of the queue. */
const MIN_RATE_SAMPLE_WORK = 20;
/** Of one first byte in the pace; some ten follow a change of the queue. */
const RATE_SAMPLE_WEIGHT = 0.2;
const MS_PER_SECOND = 1000;
/** A fault of a runner lasts some seconds; then it is tried again. */
const EJECTION_MS = 2_500;
const EJECTION_OPTIONS = {
  minOutcomes: 5,
  minPeers: 3,
  failureMargin: 0.25,
  slowFactor: 6,
  slowMarginMs: 400,
  maxEjectedShare: 0.4,
  ejectionMs: EJECTION_MS,
};

/** What a request means to the runner that it was sent to. */
export interface StartedWork {
  work: Work;
  /** 0 is the most urgent; a plain service has no order of its own. */
  priority?: number;
  /** Undefined at a plain service. */
  model?: string;
  /** As model and name, joined by a slash. */
  adapter?: string;
}

interface Outcome {
  atMs: number;
  isSuccess: boolean;
  firstTokenMs: number;
}

interface RunnerState {
  service: string;
  openWork: number;
  openRequests: number;
  peersWork: number;
  peersRequests: number;
  unreachableUntilMs: number;
  pauseMs: number;
  ejectedUntilMs: number;
  outcomes: Outcome[];
  /** Requests under way by the adapter and by the model that they use. */
  adaptersInUse: Map<string, number>;
  modelsInUse: Map<string, number>;
  workPerSecond: number;
}

/** What this process has seen of each runner's load and health. */
export class RunnerStates {
  private readonly states = new Map<string, RunnerState>();
  private readonly urgency = new PriorityMix();
  /** What runners answered here, for the holder to judge them by. */
  readonly outcomes = new OutcomeMeter();

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly options: GatewayOptions,
  ) {}

  /** Work open there: this process's own and, as last heard, its peers'. */
  openWork(runnerId: string): number {
    const state = this.states.get(runnerId);
    return state ? state.openWork + state.peersWork : 0;
  }

  ownOpenWork(): Record<string, number> {
    const open: Record<string, number> = {};
    for (const [runnerId, {openWork}] of this.states) {
      if (openWork > 0) open[runnerId] = openWork;
    }
    return open;
  }

  /** It stood out by its failures; taken only where all others did too. */
  isEjected(runnerId: string): boolean {
    const ejectedUntilMs = this.states.get(runnerId)?.ejectedUntilMs ?? 0;
    return ejectedUntilMs > this.clock.nowMs();
  }

  /** No connection came about lately; a request would only come back. */
  isUnreachable(runnerId: string): boolean {
    const untilMs = this.states.get(runnerId)?.unreachableUntilMs ?? 0;
    return untilMs > this.clock.nowMs();
  }

  /** Adapters that this process's requests use, by runner. */
  ownAdaptersInUse(): Record<string, string[]> {
    const inUse: Record<string, string[]> = {};
    for (const [runnerId, {adaptersInUse}] of this.states) {
      if (adaptersInUse.size > 0) inUse[runnerId] = [...adaptersInUse.keys()];
    }
    return inUse;
  }

  /** Requests of this process under way, by runner and model. */
  ownModelsInUse(): Record<string, Record<string, number>> {
    const inUse: Record<string, Record<string, number>> = {};
    for (const [runnerId, {modelsInUse}] of this.states) {
      if (modelsInUse.size === 0) continue;
      inUse[runnerId] = Object.fromEntries(modelsInUse);
    }
    return inUse;
  }

  recordStart(runnerId: string, service: string, started: StartedWork): void {
    const {priority, work} = started;
    if (priority !== undefined) this.urgency.record(priority, work.read);
    const state = this.getOrCreate(runnerId, service);
    state.openWork += started.work.read + started.work.generate;
    state.openRequests += 1;
    adjustCount(state.adaptersInUse, started.adapter, 1);
    adjustCount(state.modelsInUse, started.model, 1);
  }

  /**
   * Work at a runner that is read before a request of this priority. Peers tell
   * no priorities; what arrives here is taken to be mixed like what they send.
   */
  workAhead(runnerId: string, priority: number): number {
    return (
      this.openWork(runnerId) * this.urgency.shareAtLeastAsUrgent(priority)
    );
  }

  /** How much work a second a runner got through lately. */
  workPerSecond(runnerId: string): number {
    return this.states.get(runnerId)?.workPerSecond ?? ASSUMED_WORK_PER_SECOND;
  }

  /**
   * Its first byte came: the prompt is read.
   *
   * @param aheadWork what was open there when it was sent.
   */
  recordPromptRead(
    runnerId: string,
    {work}: StartedWork,
    {aheadWork, tookMs}: {aheadWork: number; tookMs: number},
  ): void {
    const state = this.states.get(runnerId);
    if (!state) return;
    state.openWork = Math.max(0, state.openWork - work.read);
    if (aheadWork < MIN_RATE_SAMPLE_WORK) return;
    const sampledRate =
      ((aheadWork + work.read) * MS_PER_SECOND) / Math.max(tookMs, 1);
    state.workPerSecond +=
      (sampledRate - state.workPerSecond) * RATE_SAMPLE_WEIGHT;
  }

  /** @param wasRead its first byte had come. */
  recordEnd(runnerId: string, ended: StartedWork, wasRead: boolean): void {
    const state = this.states.get(runnerId);
    if (!state) return;
    const {read, generate} = ended.work;
    const left = wasRead ? generate : read + generate;
    state.openWork = Math.max(0, state.openWork - left);
    state.openRequests -= 1;
    adjustCount(state.adaptersInUse, ended.adapter, -1);
    adjustCount(state.modelsInUse, ended.model, -1);
  }

  /** What the other entries have open, by runner. */
  setPeersWork(
    work: Readonly<Record<string, number>>,
    requests: Readonly<Record<string, number>> = {},
  ): void {
    for (const [runnerId, state] of this.states) {
      state.peersWork = work[runnerId] ?? 0;
      state.peersRequests = requests[runnerId] ?? 0;
    }
    for (const [runnerId, peersWork] of Object.entries(work)) {
      const state = this.getOrCreate(runnerId, '');
      state.peersWork = peersWork;
      state.peersRequests = requests[runnerId] ?? 0;
    }
  }

  /** Requests open there: this process's own and, as last heard, its peers'. */
  openRequests(runnerId: string): number {
    const state = this.states.get(runnerId);
    return state ? state.openRequests + state.peersRequests : 0;
  }

  /** A connection couldn't be established; the pause doubles each time. */
  markUnreachable(runnerId: string, service: string): void {
    const state = this.getOrCreate(runnerId, service);
    const {unreachablePauseMs, unreachablePauseCapMs} = this.options;
    state.pauseMs = Math.min(
      Math.max(state.pauseMs * 2, unreachablePauseMs),
      unreachablePauseCapMs,
    );
    state.unreachableUntilMs = this.clock.nowMs() + state.pauseMs;
    this.logger.warn('runner-unreachable', {
      runner: runnerId,
      pauseMs: state.pauseMs,
    });
  }

  recordOutcome(runnerId: string, isSuccess: boolean, firstTokenMs = 0): void {
    const state = this.states.get(runnerId);
    if (!state) return;
    this.outcomes.record(runnerId, isSuccess);
    const atMs = this.clock.nowMs();
    state.outcomes.push({atMs, isSuccess, firstTokenMs});
    if (!isSuccess) return;
    state.pauseMs = 0;
    state.unreachableUntilMs = 0;
  }

  /** It has started again: what it was set aside for is over. */
  handleRestart(runnerId: string): void {
    const state = this.states.get(runnerId);
    if (!state) return;
    state.pauseMs = 0;
    state.unreachableUntilMs = 0;
    state.ejectedUntilMs = 0;
    state.outcomes = [];
  }

  /**
   * The holder has found runners that fail more than their peers.
   *
   * @param ageMs since it told.
   */
  applyEjections(forMs: Readonly<Record<string, number>>, ageMs: number): void {
    const toldAtMs = this.clock.nowMs() - ageMs;
    for (const [runnerId, leftMs] of Object.entries(forMs)) {
      const state = this.getOrCreate(runnerId, '');
      state.ejectedUntilMs = Math.max(state.ejectedUntilMs, toldAtMs + leftMs);
    }
  }

  /** Compares runners of a service and sets aside those that stand out. */
  ejectOutliers(): void {
    const nowMs = this.clock.nowMs();
    const outcomes: RunnerOutcomes[] = [];
    for (const [vmId, state] of this.states) {
      const oldestMs = nowMs - OUTCOME_WINDOW_MS;
      state.outcomes = state.outcomes.filter(({atMs}) => atMs >= oldestMs);
      const successes = state.outcomes.filter(({isSuccess}) => isSuccess);
      outcomes.push({
        vmId,
        successes: successes.length,
        failures: state.outcomes.length - successes.length,
        firstTokenMs: medianOf(successes.map(({firstTokenMs}) => firstTokenMs)),
        ejectedUntilMs: state.ejectedUntilMs,
        peerGroup: state.service,
      });
    }
    const {ejected} = decideEjections(outcomes, nowMs, EJECTION_OPTIONS);
    for (const {vmId, untilMs, reason} of ejected) {
      const state = this.states.get(vmId)!;
      state.ejectedUntilMs = untilMs;
      state.outcomes = [];
      this.logger.warn('runner-ejected', {runner: vmId, reason});
    }
  }

  /** Forgets runners that are gone and carry nothing. */
  prune(isKnown: (runnerId: string) => boolean): void {
    for (const [runnerId, {openRequests}] of this.states) {
      if (openRequests === 0 && !isKnown(runnerId)) {
        this.states.delete(runnerId);
      }
    }
  }

  private getOrCreate(runnerId: string, service: string): RunnerState {
    let state = this.states.get(runnerId);
    if (!state) {
      state = {
        service,
        openWork: 0,
        openRequests: 0,
        peersWork: 0,
        peersRequests: 0,
        unreachableUntilMs: 0,
        pauseMs: 0,
        ejectedUntilMs: 0,
        outcomes: [],
        adaptersInUse: new Map(),
        modelsInUse: new Map(),
        workPerSecond: ASSUMED_WORK_PER_SECOND,
      };
      this.states.set(runnerId, state);
    }
    if (service !== '') state.service = service;
    return state;
  }
}

function adjustCount(
  counts: Map<string, number>,
  key: string | undefined,
  change: number,
): void {
  if (key === undefined) return;
  const value = (counts.get(key) ?? 0) + change;
  if (value > 0) counts.set(key, value);
  else counts.delete(key);
}

function medianOf(values: number[]): number {
  if (values.length === 0) return 0;
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)]!;
}
