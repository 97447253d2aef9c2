import type {Clock, Logger, Metrics} from '@banyanfold/core';
import type {RunnerRegistration} from '../types.js';
import type {FleetView} from '../view/fleetView.js';
import type {AnsweredParts} from './answeredParts.js';
import type {ListenerState} from './probeListener.js';

/** A crash of a runner, with the requests of this process that it aborted. */
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
  /** Called again for the same crash when more aborted requests are found. */
  onCrash(crash: ObservedCrash): void;
}

/** A runner that closed connections with requests in flight. */
interface CrashCandidate {
  runnerId: string;
  bornMs: number;
  atMs: number;
  state: ListenerState | 'probing' | 'crashed';
  fingerprints: Set<string>;
  /** Prompt parts of these requests. */
  parts: Set<string>;
}

/** The registration of a runner that crashed lapses within a few heartbeats. */
const REGISTRY_WAIT_MS = 8_000;

/**
 * Detects that a runner crashed with requests of this process in flight. One
 * closed connection is not enough evidence, because runners also abort single
 * answers. So the runner's address is probed once. If nothing answers, the
 * registry decides, which takes some seconds more.
 */
export class CrashDetector {
  private readonly candidates = new Map<string, CrashCandidate>();

  constructor(private readonly options: CrashDetectorOptions) {
    options.view.onChange(() => this.checkRegistry());
  }

  /**
   * The runner closed a request's connection before its answer was complete.
   */
  noteConnectionLost(
    runner: RunnerRegistration,
    fingerprint: string,
    parts: readonly string[] = [],
  ): void {
    const {view, clock} = this.options;
    const {runnerId, bornMs, address} = runner;
    const known = view.runner(runnerId);
    // A runner that leaves as planned also aborts the requests it still runs.
    if (!known || known.leaving) return;
    const crashId = `${runnerId}@${bornMs}`;
    const found = this.candidates.get(crashId);
    if (found) {
      found.fingerprints.add(fingerprint);
      for (const part of parts) found.parts.add(part);
      if (found.state === 'crashed') {
        this.reportCrash(crashId, [fingerprint], parts);
      }
      return;
    }
    this.forgetOld();
    this.candidates.set(crashId, {
      runnerId,
      bornMs,
      atMs: clock.nowMs(),
      state: 'probing',
      fingerprints: new Set([fingerprint]),
      parts: new Set(parts),
    });
    void this.probe(crashId, address);
  }

  private async probe(crashId: string, address: string): Promise<void> {
    const state = await this.options.probe(address);
    const crash = this.candidates.get(crashId);
    if (!crash || crash.state !== 'probing') return;
    crash.state = state;
    if (state === 'refused') this.confirm(crashId, crash);
    // It is running, so these requests are no evidence for a later crash.
    if (state === 'listening') this.candidates.delete(crashId);
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
    this.reportCrash(crashId, [...crash.fingerprints], [...crash.parts]);
  }

  private reportCrash(
    crashId: string,
    fingerprints: readonly string[],
    parts: readonly string[],
  ): void {
    const {logger, onCrash} = this.options;
    logger.warn('runner-crashed', {
      life: crashId,
      requests: fingerprints.length,
      fingerprints: fingerprints.join(','),
      partsAnsweredAgoMs: this.describeParts(parts),
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
