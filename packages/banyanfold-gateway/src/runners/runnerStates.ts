import type {Clock, Logger} from '@banyanfold/core';
import {
  decideEjections,
  type PlainCandidate,
  type RunnerOutcomes,
} from '@banyanfold/decisions';
import type {GatewayOptions} from '../options.js';
import {countOf} from '../placement/counts.js';
import type {Work} from '../requests/workOf.js';
import {OutcomeMeter} from './outcomeMeter.js';
import {PriorityMix} from './priorityMix.js';
import {WorkSum} from './workSum.js';

/** Older outcomes are not evidence of a runner's current state. */
const OUTCOME_WINDOW_MS = 4_000;
/** Current engines read 38,000 to 41,000 prompt tokens per second. */
const ASSUMED_WORK_PER_SECOND = 40;
/**
 * With less work ahead, the first byte depends on the prompt and not on the
 * queue.
 */
const MIN_RATE_SAMPLE_WORK = 20;
/**
 * Weight of one sample in the average; about ten samples follow a change of the
 * queue.
 */
const RATE_SAMPLE_WEIGHT = 0.2;
const MS_PER_SECOND = 1000;
/**
 * Twenty exchanges. With 2 s, the average followed chance so closely that 730
 * entries avoided the same runner: their 95th percentile was 138 ms, against
 * 127 ms with 5 s.
 */
const MEAN_WORK_WINDOW_MS = 5_000;
/** Six exchanges; without one, an entry decides by its own open work. */
const MEAN_WORK_TTL_MS = 1_500;
/** Faults of a runner last some seconds; after this time it is tried again. */
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

/** The load that a request puts on its runner. */
export interface StartedWork {
  work: Work;
  /**
   * 0 is the most urgent. Undefined for a plain service, which has no
   * priorities.
   */
  priority?: number;
  /** Undefined for a plain service. */
  model?: string;
  /** Model and adapter name, joined by a slash. */
  adapter?: string;
}

/** The first byte of a response, which shows that the prompt is read. */
export interface PromptRead {
  /** Open work on the runner when the request was sent. */
  aheadWork: number;
  tookMs: number;
  /** Speed of the runner's machine; 1, the default, is as usual. */
  speed?: number;
}

/** A request that is counted at a runner until it ends. */
export interface OpenRequest {
  /** Takes the prompt out of the open work. Idempotent. */
  markRead(read: PromptRead): void;
  /** Takes out what is left of the request. Idempotent. */
  end(): void;
}

/** See `PlainCandidate`. */
export type PlainLoad = Pick<
  PlainCandidate,
  'ownWork' | 'meanWork' | 'lastSent'
>;

interface Outcome {
  atMs: number;
  isSuccess: boolean;
  firstTokenMs: number;
}

interface RunnerState {
  service: string;
  openWork: WorkSum;
  openRequests: number;
  peersWork: number;
  peersRequests: number;
  /** Open work of all entries, averaged over the last exchanges. */
  meanWork: number;
  /** Number of the last request within its service. */
  lastSent: number | undefined;
  unreachableUntilMs: number;
  pauseMs: number;
  ejectedUntilMs: number;
  outcomes: Outcome[];
  /** Requests in progress by the adapter and by the model that they use. */
  adaptersInUse: Map<string, number>;
  modelsInUse: Map<string, number>;
  workPerSecond: number;
}

/** Load and health of each runner as observed by this process. */
export class RunnerStates {
  private readonly states = new Map<string, RunnerState>();
  private readonly priorityMix = new PriorityMix();
  private readonly sentByService = new Map<string, number>();
  private peersHeardMs = Number.NEGATIVE_INFINITY;
  /** Outcomes to report to the holder, which ejects runners by them. */
  readonly outcomes = new OutcomeMeter();

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly options: GatewayOptions,
  ) {}

  /**
   * Open work on a runner: that of this process and the last reported work of
   * its peers.
   */
  openWork(runnerId: string): number {
    const state = this.states.get(runnerId);
    return state ? state.openWork.work + state.peersWork : 0;
  }

  /**
   * Load of a runner for the choice among the runners of a plain service, whose
   * calls are shorter than the last reported work of the peers is old.
   */
  plainLoad(runnerId: string): PlainLoad {
    const state = this.states.get(runnerId);
    const isStale = this.clock.nowMs() - this.peersHeardMs > MEAN_WORK_TTL_MS;
    return {
      ownWork: state?.openWork.work ?? 0,
      meanWork: isStale ? 0 : (state?.meanWork ?? 0),
      lastSent: state?.lastSent,
    };
  }

  ownOpenWork(): Record<string, number> {
    const open: Record<string, number> = {};
    for (const [runnerId, {openWork}] of this.states) {
      if (openWork.work > 0) open[runnerId] = openWork.work;
    }
    return open;
  }

  /**
   * Whether the runner is ejected because of its failures. It is used only if
   * all other runners are ejected too.
   */
  isEjected(runnerId: string): boolean {
    const ejectedUntilMs = this.states.get(runnerId)?.ejectedUntilMs ?? 0;
    return ejectedUntilMs > this.clock.nowMs();
  }

  /**
   * Whether a recent connection attempt failed, so that a request would fail
   * too.
   */
  isUnreachable(runnerId: string): boolean {
    const untilMs = this.states.get(runnerId)?.unreachableUntilMs ?? 0;
    return untilMs > this.clock.nowMs();
  }

  /** Adapters that requests of this process use, by runner. */
  ownAdaptersInUse(): Record<string, string[]> {
    const inUse: Record<string, string[]> = {};
    for (const [runnerId, {adaptersInUse}] of this.states) {
      if (adaptersInUse.size > 0) inUse[runnerId] = [...adaptersInUse.keys()];
    }
    return inUse;
  }

  /** Requests of this process in progress, by runner and model. */
  ownModelsInUse(): Record<string, Record<string, number>> {
    const inUse: Record<string, Record<string, number>> = {};
    for (const [runnerId, {modelsInUse}] of this.states) {
      if (modelsInUse.size === 0) continue;
      inUse[runnerId] = Object.fromEntries(modelsInUse);
    }
    return inUse;
  }

  /** Counts a request as open at a runner. */
  recordStart(
    runnerId: string,
    service: string,
    started: StartedWork,
  ): OpenRequest {
    const {priority, work, adapter, model} = started;
    if (priority !== undefined) this.priorityMix.record(priority, work.prefill);
    const state = this.getOrCreate(runnerId, service);
    state.openWork.add(work.prefill);
    state.openWork.add(work.decode);
    state.openRequests += 1;
    state.lastSent = (this.sentByService.get(service) ?? 0) + 1;
    this.sentByService.set(service, state.lastSent);
    adjustCount(state.adaptersInUse, adapter, 1);
    adjustCount(state.modelsInUse, model, 1);
    let isPromptOpen = true;
    let isOpen = true;
    const closePrompt = () => {
      if (isPromptOpen) state.openWork.subtract(work.prefill);
      isPromptOpen = false;
    };
    return {
      markRead: read => {
        if (!isPromptOpen) return;
        closePrompt();
        sampleRate(state, work.prefill, read);
      },
      end: () => {
        if (!isOpen) return;
        isOpen = false;
        closePrompt();
        state.openWork.subtract(work.decode);
        state.openRequests -= 1;
        adjustCount(state.adaptersInUse, adapter, -1);
        adjustCount(state.modelsInUse, model, -1);
      },
    };
  }

  /**
   * Work on a runner that is read before a request of this priority. Peers
   * report no priorities, so their work is assumed to have the same
   * distribution as the work that arrives here.
   */
  workAhead(runnerId: string, priority: number): number {
    return (
      this.openWork(runnerId) * this.priorityMix.shareAtLeastAsUrgent(priority)
    );
  }

  /** Recent throughput of a runner at its usual speed, in work per second. */
  workPerSecond(runnerId: string): number {
    return this.states.get(runnerId)?.workPerSecond ?? ASSUMED_WORK_PER_SECOND;
  }

  /** Sets the open work and requests of the other entries, by runner. */
  setPeersWork(
    work: Readonly<Record<string, number>>,
    requests: Readonly<Record<string, number>> = {},
  ): void {
    for (const [runnerId, state] of this.states) {
      state.peersWork = countOf(work, runnerId);
      state.peersRequests = countOf(requests, runnerId);
    }
    for (const [runnerId, peersWork] of Object.entries(work)) {
      const state = this.getOrCreate(runnerId, '');
      state.peersWork = peersWork;
      state.peersRequests = countOf(requests, runnerId);
    }
    this.updateMeanWork();
  }

  private updateMeanWork(): void {
    const nowMs = this.clock.nowMs();
    const elapsedMs = nowMs - this.peersHeardMs;
    this.peersHeardMs = nowMs;
    const weight = 1 - Math.exp(-elapsedMs / MEAN_WORK_WINDOW_MS);
    for (const state of this.states.values()) {
      const openWork = state.openWork.work + state.peersWork;
      state.meanWork += (openWork - state.meanWork) * weight;
    }
  }

  /**
   * Open requests on a runner: those of this process and the last reported ones
   * of its peers.
   */
  openRequests(runnerId: string): number {
    const state = this.states.get(runnerId);
    return state ? state.openRequests + state.peersRequests : 0;
  }

  /**
   * Records a failed connection attempt. The pause doubles with each failure.
   */
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

  /**
   * Ejects a runner whose response exceeded a limit. Its other responses would
   * hold callers for as long.
   */
  ejectForLimit(runnerId: string, service: string, limit: string): void {
    const state = this.getOrCreate(runnerId, service);
    state.ejectedUntilMs = this.clock.nowMs() + EJECTION_MS;
    this.logger.warn('runner-ejected', {runner: runnerId, reason: limit});
  }

  /** Clears the failures and ejections from before a restart of the runner. */
  handleRestart(runnerId: string): void {
    const state = this.states.get(runnerId);
    if (!state) return;
    state.pauseMs = 0;
    state.unreachableUntilMs = 0;
    state.ejectedUntilMs = 0;
    state.outcomes = [];
  }

  /**
   * Applies the ejections that the holder has reported.
   *
   * @param ageMs time since the holder reported them.
   */
  applyEjections(forMs: Readonly<Record<string, number>>, ageMs: number): void {
    const toldAtMs = this.clock.nowMs() - ageMs;
    for (const [runnerId, leftMs] of Object.entries(forMs)) {
      const state = this.getOrCreate(runnerId, '');
      state.ejectedUntilMs = Math.max(state.ejectedUntilMs, toldAtMs + leftMs);
    }
  }

  /**
   * Compares the runners of each service and ejects outliers. A runner whose
   * machine is slow is compared as if it were not.
   */
  ejectOutliers(speedOf: (runnerId: string) => number = () => 1): void {
    const nowMs = this.clock.nowMs();
    const outcomes: RunnerOutcomes[] = [];
    for (const [vmId, state] of this.states) {
      const oldestMs = nowMs - OUTCOME_WINDOW_MS;
      state.outcomes = state.outcomes.filter(({atMs}) => atMs >= oldestMs);
      const successes = state.outcomes.filter(({isSuccess}) => isSuccess);
      const medianMs = medianOf(
        successes.map(({firstTokenMs}) => firstTokenMs),
      );
      outcomes.push({
        vmId,
        successes: successes.length,
        failures: state.outcomes.length - successes.length,
        firstTokenMs: medianMs * speedOf(vmId),
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

  /** Drops the state of removed runners without open requests. */
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
        openWork: new WorkSum(),
        openRequests: 0,
        peersWork: 0,
        peersRequests: 0,
        meanWork: 0,
        lastSent: undefined,
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

/** Updates the throughput of a runner by the time that a prompt took. */
function sampleRate(
  state: RunnerState,
  promptWork: number,
  {aheadWork, tookMs, speed = 1}: PromptRead,
): void {
  if (aheadWork < MIN_RATE_SAMPLE_WORK) return;
  const sampledRate =
    ((aheadWork + promptWork) * MS_PER_SECOND) / (Math.max(tookMs, 1) * speed);
  state.workPerSecond +=
    (sampledRate - state.workPerSecond) * RATE_SAMPLE_WEIGHT;
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
