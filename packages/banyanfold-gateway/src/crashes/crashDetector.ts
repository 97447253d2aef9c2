import {
  type Clock,
  type Logger,
  type Metrics,
  runInBackground,
} from '@banyanfold/core';
import type {RunnerRegistration} from '../types.js';
import type {FleetView} from '../view/fleetView.js';
import type {AnsweredParts} from './answeredParts.js';
import {AnswerEnds} from './answerEnds.js';
import type {ListenerState} from './probeListener.js';
import {isPartFingerprint} from './requestFingerprint.js';

/** A crash of a runner, with what this process had in flight there. */
export interface ObservedCrash {
  /** The runner and the start time of its process, as `runnerId@bornMs`. */
  crashId: string;
  fingerprints: readonly string[];
}

export interface CrashDetectorOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  view: FleetView;
  answeredParts: AnsweredParts;
  probe(address: string): Promise<ListenerState>;
  /** Whether runners crashed lately, so that doubtful ends are probed. */
  isAlerted(): boolean;
  /** Called again for the same crash when more aborted requests are found. */
  onCrash(crash: ObservedCrash): void;
  /** Called when a runner has answered and has not crashed since. */
  onAnswered(fingerprints: readonly string[]): void;
}

/** A runner that closed connections with requests in flight. */
interface CrashCandidate {
  runnerId: string;
  bornMs: number;
  atMs: number;
  state: ListenerState | 'probing' | 'crashed';
  fingerprints: Set<string>;
}

/** How an answer that was delivered completely ended. */
export interface AnswerEnd {
  /** It has neither a length nor chunks, so a crash may have ended it. */
  isEndedByClose: boolean;
  /** Whether the runner is probed in any case if the end is doubtful. */
  isTrial: boolean;
}

/** The registration of a runner that crashed lapses within a few heartbeats. */
const REGISTRY_WAIT_MS = 8_000;
/** Time in which a sign of life settles whether a crash ended an answer. */
const SIGN_OF_LIFE_MS = 50;

/**
 * Detects that a runner crashed with requests of this process in flight. One
 * closed connection is not enough evidence, because runners also abort single
 * answers. So the runner's address is probed once. If nothing answers, the
 * registry decides, which takes some seconds more.
 */
export class CrashDetector {
  private readonly candidates = new Map<string, CrashCandidate>();
  private readonly ends: AnswerEnds;

  constructor(private readonly options: CrashDetectorOptions) {
    const {clock, onAnswered, view} = options;
    this.ends = new AnswerEnds({
      clock,
      isUndecided: crashId => this.candidates.has(crashId),
      onAnswered,
    });
    view.onChange(() => this.checkRegistry());
  }

  /**
   * The runner closed a request's connection before its answer was complete.
   */
  noteConnectionLost(
    runner: RunnerRegistration,
    fingerprints: readonly string[],
  ): void {
    if (!this.isStaying(runner)) return;
    const crashId = crashIdOf(runner);
    const found = this.candidates.get(crashId);
    if (found) {
      for (const each of fingerprints) found.fingerprints.add(each);
      if (found.state === 'crashed') this.reportCrash(crashId, fingerprints);
      return;
    }
    this.addCandidate(runner, fingerprints);
    this.probeInBackground(crashId, runner);
  }

  /** Nothing listens at the address of a runner that is registered. */
  noteRefused(runner: RunnerRegistration): void {
    const crashId = crashIdOf(runner);
    if (!this.isStaying(runner) || this.candidates.has(crashId)) return;
    this.confirm(crashId, this.addCandidate(runner, []));
  }

  /** The runner answered a request completely. */
  noteAnswered(
    runner: RunnerRegistration,
    fingerprints: readonly string[],
    {isEndedByClose, isTrial}: AnswerEnd,
  ): void {
    const crashId = crashIdOf(runner);
    if (this.candidates.get(crashId)?.state === 'crashed') {
      this.reportCrash(crashId, fingerprints);
      return;
    }
    this.ends.add(crashId, fingerprints, isEndedByClose);
    if (!isEndedByClose) return;
    if (!isTrial && !this.options.isAlerted()) return;
    this.options.clock.setTimer(SIGN_OF_LIFE_MS, () =>
      this.probeIfDoubtful(runner),
    );
  }

  /** The runner has sent something. */
  noteSignOfLife(runner: RunnerRegistration): void {
    this.ends.noteSignOfLife(crashIdOf(runner));
  }

  private probeIfDoubtful(runner: RunnerRegistration): void {
    const crashId = crashIdOf(runner);
    if (!this.isStaying(runner) || this.candidates.has(crashId)) return;
    if (!this.ends.hasDoubtful(crashId)) return;
    this.addCandidate(runner, []);
    this.probeInBackground(crashId, runner);
  }

  private addCandidate(
    {runnerId, bornMs}: RunnerRegistration,
    fingerprints: readonly string[],
  ): CrashCandidate {
    this.forgetOld();
    const candidate: CrashCandidate = {
      runnerId,
      bornMs,
      atMs: this.options.clock.nowMs(),
      state: 'probing',
      fingerprints: new Set(fingerprints),
    };
    this.candidates.set(`${runnerId}@${bornMs}`, candidate);
    return candidate;
  }

  /** A runner that leaves as planned also aborts the requests it still runs. */
  private isStaying({runnerId}: RunnerRegistration): boolean {
    const known = this.options.view.runner(runnerId);
    return known !== undefined && !known.leaving;
  }

  private probeInBackground(
    crashId: string,
    {runnerId, address}: RunnerRegistration,
  ): void {
    const {logger} = this.options;
    runInBackground({logger, step: 'probe-runner', peer: runnerId}, () =>
      this.probe(crashId, address),
    );
  }

  private async probe(crashId: string, address: string): Promise<void> {
    const state = await this.options.probe(address);
    const crash = this.candidates.get(crashId);
    if (!crash || crash.state !== 'probing') return;
    crash.state = state;
    if (state === 'refused') this.confirm(crashId, crash);
    // It is running, so these requests are no evidence for a later crash.
    if (state === 'listening') {
      this.candidates.delete(crashId);
      this.ends.noteSignOfLife(crashId);
    }
  }

  /** Decides about the candidates whose probe got no answer. */
  private checkRegistry(): void {
    this.forgetOld();
    for (const [crashId, crash] of this.candidates) {
      if (crash.state !== 'unknown') continue;
      const known = this.options.view.runner(crash.runnerId);
      if (!known || known.bornMs > crash.bornMs) this.confirm(crashId, crash);
    }
  }

  private confirm(crashId: string, crash: CrashCandidate): void {
    crash.state = 'crashed';
    this.options.metrics.count('runner_crashes_seen_total');
    const ended = this.ends.takeAtCrash(crashId, crash.atMs);
    for (const fingerprint of ended) crash.fingerprints.add(fingerprint);
    this.reportCrash(crashId, [...crash.fingerprints]);
  }

  private reportCrash(crashId: string, fingerprints: readonly string[]): void {
    const {logger, onCrash} = this.options;
    const requests = fingerprints.filter(each => !isPartFingerprint(each));
    logger.warn('runner-crashed', {
      life: crashId,
      requests: requests.length,
      fingerprints: requests.join(','),
      partsAnsweredAgoMs: this.describeParts(
        fingerprints.filter(isPartFingerprint),
      ),
    });
    onCrash({crashId, fingerprints});
  }

  /** Each part with the time since its last answer here. */
  private describeParts(parts: readonly string[]): string {
    return parts
      .map(part => {
        const ageMs = this.options.answeredParts.ageMs(part);
        return `${part}:${ageMs === undefined ? 'none' : Math.round(ageMs)}`;
      })
      .join(',');
  }

  private forgetOld(): void {
    const oldestMs = this.options.clock.nowMs() - REGISTRY_WAIT_MS;
    for (const [crashId, {atMs}] of this.candidates) {
      if (atMs < oldestMs) this.candidates.delete(crashId);
    }
  }
}

function crashIdOf({runnerId, bornMs}: RunnerRegistration): string {
  return `${runnerId}@${bornMs}`;
}
