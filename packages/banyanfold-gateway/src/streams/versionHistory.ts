import type {RunnerRegistration} from '../types.js';
import {versionOf} from './softwareVersion.js';

export interface VersionHistoryOptions {
  nowMs(): number;
  /** How long a version counts after a runner had it last, in ms. */
  horizonMs: number;
}

type VersionedRunner = Pick<RunnerRegistration, 'service' | 'softwareVersion'>;

/** The software versions of each service's runners, for as long as they matter. */
export class VersionHistory {
  /** When a runner had a version last, by service and version. */
  private readonly services = new Map<string, Map<string, number>>();
  private watchedSinceMs: number | undefined;

  constructor(private readonly options: VersionHistoryOptions) {}

  /** Records that all registrations are passed on from now on. */
  startWatching(): void {
    this.watchedSinceMs ??= this.options.nowMs();
  }

  /** Whether all versions that matter have been seen. */
  get isComplete(): boolean {
    const {nowMs, horizonMs} = this.options;
    return (
      this.watchedSinceMs !== undefined &&
      nowMs() - this.watchedSinceMs >= horizonMs
    );
  }

  /** Records the version of a registered runner. */
  note(runner: VersionedRunner): void {
    let versions = this.services.get(runner.service);
    if (!versions) this.services.set(runner.service, (versions = new Map()));
    versions.set(versionOf(runner), this.options.nowMs());
  }

  /**
   * Drops the versions that no longer matter. The versions of the given runners
   * stay: without the store, no heartbeats arrive of runners that serve on.
   */
  refresh(runners: Iterable<VersionedRunner>): void {
    for (const runner of runners) this.note(runner);
    const oldestMs = this.options.nowMs() - this.options.horizonMs;
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

  /** Services at which streams can have begun at several versions. */
  mixedServices(): string[] {
    return [...this.services.keys()].filter(each => this.hasSeveral(each));
  }
}
