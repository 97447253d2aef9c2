import type {Clock, Logger, Metrics} from '@banyanfold/core';
import type {RunnerRegistration} from '../types.js';
import type {FleetView} from '../view/fleetView.js';
import type {ListenerState} from './probeListener.js';

/** Requests that were at a runner when it crashed, as this process saw it. */
export interface ObservedCrash {
  /** Names one life of a runner. */
  incarnation: string;
  fingerprints: readonly string[];
}

export interface CrashDetectorOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  view: FleetView;
  probe(address: string): Promise<ListenerState>;
  /** Called again for the same life as more of its requests come to light. */
  onCrash(crash: ObservedCrash): void;
}

/** What is known of a runner that cut requests off. */
interface CutOff {
  runnerId: string;
  bornMs: number;
  atMs: number;
  state: ListenerState | 'asked' | 'crashed';
  fingerprints: Set<string>;
}

/** The registration of a runner that crashed lapses within a few heartbeats. */
const REGISTRY_WAIT_MS = 8_000;

/**
 * Notices that a runner crashed under requests of this process. One broken
 * connection is no sign of it: runners cut off single answers too. So the
 * runner's address is tried once; where nothing answers at all, the registry's
 * word decides, which comes seconds later.
 */
export class CrashDetector {
  private readonly cutOffs = new Map<string, CutOff>();

  constructor(private readonly options: CrashDetectorOptions) {
    options.view.onChange(() => this.askRegistry());
  }

  /** The runner's side ended a request's connection before its answer was out. */
  noteConnectionLost(sentTo: RunnerRegistration, fingerprint: string): void {
    const {view, clock} = this.options;
    const {runnerId, bornMs, address} = sentTo;
    const known = view.runner(runnerId);
    // One that leaves as planned ends too, and cuts off what it still runs.
    if (!known || known.leaving) return;
    const life = `${runnerId}@${bornMs}`;
    const found = this.cutOffs.get(life);
    if (found) {
      found.fingerprints.add(fingerprint);
      if (found.state === 'crashed') this.tell(life, [fingerprint]);
      return;
    }
    this.forgetOld();
    this.cutOffs.set(life, {
      runnerId,
      bornMs,
      atMs: clock.nowMs(),
      state: 'asked',
      fingerprints: new Set([fingerprint]),
    });
    void this.probe(life, address);
  }

  private async probe(life: string, address: string): Promise<void> {
    const state = await this.options.probe(address);
    const cutOff = this.cutOffs.get(life);
    if (!cutOff || cutOff.state !== 'asked') return;
    cutOff.state = state;
    if (state === 'refused') this.crashed(life, cutOff);
    // It lives: what it cut off now says nothing of a crash later.
    if (state === 'listening') this.cutOffs.delete(life);
  }

  /** Decides what no answer has decided. */
  private askRegistry(): void {
    this.forgetOld();
    for (const [life, cutOff] of this.cutOffs) {
      if (cutOff.state !== 'unknown') continue;
      const known = this.options.view.runner(cutOff.runnerId);
      if (!known || known.bornMs > cutOff.bornMs) this.crashed(life, cutOff);
    }
  }

  private crashed(life: string, cutOff: CutOff): void {
    cutOff.state = 'crashed';
    this.options.metrics.count('runner_crashes_seen_total');
    this.tell(life, [...cutOff.fingerprints]);
  }

  private tell(life: string, fingerprints: readonly string[]): void {
    const {logger, onCrash} = this.options;
    logger.warn('runner-crashed', {
      life,
      requests: fingerprints.length,
      fingerprints: fingerprints.join(','),
    });
    onCrash({incarnation: life, fingerprints});
  }

  private forgetOld(): void {
    const oldestMs = this.options.clock.nowMs() - REGISTRY_WAIT_MS;
    for (const [life, {atMs}] of this.cutOffs) {
      if (atMs < oldestMs) this.cutOffs.delete(life);
    }
  }
}
