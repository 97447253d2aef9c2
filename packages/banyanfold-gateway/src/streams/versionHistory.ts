import type {RunnerRegistration} from '../types.js';
import {versionOf, type VersionFields} from './softwareVersion.js';

export interface VersionHistoryOptions {
  nowMs(): number;
  /** How long a version counts after a runner had it last, in ms. */
  horizonMs: number;
}

type VersionedRunner = VersionFields &
  Pick<RunnerRegistration, 'service' | 'leaving'>;

/**
 * Registrations that expired while the store was down are back within two
 * seconds of its return.
 */
const RETURN_MS = 3_000;

/** The software versions of each service's runners, for as long as they matter. */
export class VersionHistory {
  /** When a runner had a version last, by service and version. */
  private readonly services = new Map<string, Map<string, number>>();
  private readonly runners = new Map<string, VersionedRunner>();
  /** When a runner that was not leaving was removed last, by version. */
  private readonly removals = new Map<string, number>();
  private startedMs: number | undefined;
  /** When versions may have come and gone unseen last. */
  private gap: {fromMs: number; untilMs: number} | undefined;

  constructor(private readonly options: VersionHistoryOptions) {}

  /** Records that all registrations are passed on from now on. */
  startWatching(): void {
    this.startedMs ??= this.options.nowMs();
  }

  /** Records that registrations may have come and gone unseen until now. */
  noteGap(fromMs: number): void {
    const isOngoing = this.gapAgeMs !== undefined;
    this.gap = {
      fromMs: isOngoing ? Math.min(this.gap!.fromMs, fromMs) : fromMs,
      untilMs: this.options.nowMs(),
    };
  }

  /** Time since registrations have been passed on; undefined before that. */
  get followedMs(): number | undefined {
    if (this.startedMs === undefined) return undefined;
    return this.options.nowMs() - this.startedMs;
  }

  /** Time since the gaps that still matter began; undefined if there are none. */
  get gapAgeMs(): number | undefined {
    const {nowMs, horizonMs} = this.options;
    if (!this.gap || nowMs() - this.gap.untilMs >= horizonMs) return undefined;
    return nowMs() - this.gap.fromMs;
  }

  /** Whether all versions that matter have been seen. */
  get isComplete(): boolean {
    const {followedMs = 0} = this;
    return followedMs >= this.options.horizonMs && this.gapAgeMs === undefined;
  }

  /** Records the version of a registered runner. */
  note(runner: VersionedRunner): void {
    const last = this.runners.get(runner.runnerId);
    this.runners.set(runner.runnerId, runner);
    let versions = this.services.get(runner.service);
    const isNowRegistered =
      last?.isUnregistered &&
      !runner.isUnregistered &&
      last.bornMs === runner.bornMs;
    if (isNowRegistered) versions?.delete(versionOf(last));
    if (!versions) this.services.set(runner.service, (versions = new Map()));
    versions.set(versionOf(runner), this.options.nowMs());
  }

  /** Records that the registration of a runner was removed. */
  noteRemoval(runnerId: string): void {
    const runner = this.runners.get(runnerId);
    this.runners.delete(runnerId);
    if (!runner || runner.leaving) return;
    const key = removalKey(runner.service, versionOf(runner));
    this.removals.set(key, this.options.nowMs());
  }

  /**
   * Whether runners of other versions serve, and none of this one will again. A
   * removed registration may have expired only because the store was down, and
   * an incarnation that has not registered may be of any version.
   */
  isGone(service: string, version: string): boolean {
    const staying = [...this.runners.values()].filter(
      runner => runner.service === service && !runner.leaving,
    );
    if (staying.length === 0) return false;
    const mayServe = (runner: VersionedRunner) =>
      runner.isUnregistered || versionOf(runner) === version;
    if (staying.some(mayServe)) return false;
    const removedMs = this.removals.get(removalKey(service, version));
    return (
      removedMs === undefined || this.options.nowMs() - removedMs > RETURN_MS
    );
  }

  /**
   * Drops the versions that no longer matter. The versions of the given runners
   * stay: without the store, no heartbeats arrive of runners that serve on.
   */
  refresh(runners: Iterable<VersionedRunner>): void {
    for (const runner of runners) this.note(runner);
    const nowMs = this.options.nowMs();
    for (const [key, removedMs] of this.removals) {
      if (nowMs - removedMs > RETURN_MS) this.removals.delete(key);
    }
    const oldestMs = nowMs - this.options.horizonMs;
    for (const versions of this.services.values()) {
      for (const [version, seenMs] of versions) {
        if (seenMs < oldestMs) versions.delete(version);
      }
    }
  }

  /** Versions at which a stream of the service can have begun. */
  versionsOf(service: string): string[] {
    return [...(this.services.get(service)?.keys() ?? [])];
  }

  hasSeveral(service: string): boolean {
    return (this.services.get(service)?.size ?? 0) > 1;
  }

  /** The version of each service that has had only one. */
  soleVersions(): Array<[service: string, version: string]> {
    return [...this.services]
      .filter(([, versions]) => versions.size === 1)
      .map(([service, versions]) => [service, [...versions.keys()][0]!]);
  }

  /** Services at which streams can have begun at several versions. */
  mixedServices(): string[] {
    return [...this.services.keys()].filter(each => this.hasSeveral(each));
  }
}

function removalKey(service: string, version: string): string {
  return JSON.stringify([service, version]);
}
