import type {Clock, Logger} from '@banyanfold/core';
import type {
  FleetConfig,
  FleetHandlers,
  RoutePolicy,
  RunnerRegistration,
} from '../types.js';
import {OrganisationDirectory} from '../callers/organisationDirectory.js';
import {RouteTable} from './routeTable.js';

/** How long the last heartbeat number of a removed runner is kept. */
const REMOVAL_RETENTION_MS = 600_000;

/** What has changed; a listener of one kind need not look at all runners. */
export type ViewChange =
  | {kind: 'config'}
  | {kind: 'caught-up'}
  | {kind: 'runner' | 'runner-removed'; runnerId: string};

type ChangeListener = (change: ViewChange) => void;

/** A heartbeat of one life of a runner. */
type Heartbeat = Pick<RunnerRegistration, 'bornMs' | 'heartbeatNumber'>;

interface RemovedRunner extends Heartbeat {
  removedMs: number;
}

/** What this process believes of the configuration and the runners. */
export class FleetView implements Omit<FleetHandlers, 'isRelayed'> {
  private config: FleetConfig | undefined;
  private routeTable = new RouteTable([]);
  /** Undefined where callers carry no keys. */
  organisations: OrganisationDirectory | undefined;
  private readonly runners = new Map<string, RunnerRegistration>();
  private readonly removed = new Map<string, RemovedRunner>();
  private readonly listeners = new Set<ChangeListener>();
  private readonly restartListeners = new Set<(runnerId: string) => void>();
  private isCaughtUp = false;
  /** Of all routes; 0 is the most urgent, and before one is known. */
  lowestPriority = 0;
  /** When the version in force was last known to be the newest. */
  private configConfirmedMs: number | undefined;
  /** When the runners were last heard of. */
  runnersReadMs = 0;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  get currentConfig(): FleetConfig | undefined {
    return this.config;
  }

  /** Since the version in force was last known to be the newest, in ms. */
  get configAgeMs(): number | undefined {
    if (this.configConfirmedMs === undefined) return undefined;
    return this.clock.nowMs() - this.configConfirmedMs;
  }

  get isReady(): boolean {
    return this.config !== undefined && this.isCaughtUp;
  }

  findRoute(host: string, path: string): RoutePolicy | undefined {
    return this.routeTable.find(host, path);
  }

  runner(runnerId: string): RunnerRegistration | undefined {
    return this.runners.get(runnerId);
  }

  allRunners(): IterableIterator<RunnerRegistration> {
    return this.runners.values();
  }

  runnersOf(service: string): RunnerRegistration[] {
    return [...this.runners.values()].filter(
      runner => runner.service === service,
    );
  }

  /** Called after each change of the view. */
  onChange(listener: ChangeListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * A replayed record would bring back a version that was replaced, and
   * callers would be routed by it; only a higher version is taken.
   */
  onConfig(config: FleetConfig): void {
    if (this.config && config.version <= this.config.version) return;
    this.config = config;
    this.routeTable = new RouteTable(config.routes);
    const {organisations} = config;
    this.organisations =
      organisations && new OrganisationDirectory(organisations);
    const priorities = [...config.routes, ...(organisations ?? [])].map(
      ({priority}) => priority ?? 0,
    );
    this.lowestPriority = Math.max(0, ...priorities);
    this.logger.info('config', {
      version: config.version,
      routes: config.routes.length,
      organisations: organisations?.length,
    });
    this.notifyListeners({kind: 'config'});
  }

  /** Called when a runner has started again under its id. */
  onRestart(listener: (runnerId: string) => void): void {
    this.restartListeners.add(listener);
  }

  /**
   * A late or replayed heartbeat would revive a runner that left, and requests
   * would go to whoever has its address now; only a later one counts. Numbers
   * begin anew with each life of a runner: compared by the number alone, all
   * heartbeats of one that crashed and came back were left out, and it got no
   * request until its number had passed the former one.
   */
  onRegistration(registration: RunnerRegistration): void {
    const {runnerId, bornMs, heartbeatNumber} = registration;
    this.runnersReadMs = this.clock.nowMs();
    const known = this.runners.get(runnerId);
    const last = known ?? this.removed.get(runnerId);
    if (last && !isNewer(registration, last)) return;
    const isRestart = last !== undefined && bornMs !== last.bornMs;
    // What is leaving never comes back within the same life of a runner.
    const wasLeaving = !isRestart && (known?.leaving ?? false);
    const leaving = registration.leaving || wasLeaving;
    this.runners.set(runnerId, {...registration, leaving});
    this.removed.delete(runnerId);
    if (isRestart) for (const notify of this.restartListeners) notify(runnerId);
    if (!known || isRestart || known.leaving !== leaving) {
      this.logger.info('runner', {
        runner: runnerId,
        bornMs,
        service: registration.service,
        address: registration.address,
        leaving,
        remainingMs: registration.remainingMs,
        heartbeat: heartbeatNumber,
      });
    }
    this.notifyListeners({kind: 'runner', runnerId});
  }

  onRemoval(runnerId: string): void {
    const nowMs = this.clock.nowMs();
    this.runnersReadMs = nowMs;
    const known = this.runners.get(runnerId);
    if (!known) return;
    this.runners.delete(runnerId);
    this.pruneRemovals(nowMs);
    const {bornMs, heartbeatNumber} = known;
    this.removed.set(runnerId, {bornMs, heartbeatNumber, removedMs: nowMs});
    this.logger.info('runner-removed', {runner: runnerId});
    this.notifyListeners({kind: 'runner-removed', runnerId});
  }

  onCaughtUp(): void {
    if (this.isCaughtUp) return;
    this.isCaughtUp = true;
    this.logger.info('runners-known', {runners: this.runners.size});
    this.notifyListeners({kind: 'caught-up'});
  }

  /** The configuration in force was the newest one, now or at that time, in ms. */
  onConfigCurrent(atMs = this.clock.nowMs()): void {
    if (!this.config) return;
    this.configConfirmedMs = Math.max(this.configConfirmedMs ?? atMs, atMs);
  }

  /** The version in force was known to be the newest within that time. */
  isConfigConfirmed(withinMs: number): boolean {
    return this.configAgeMs !== undefined && this.configAgeMs <= withinMs;
  }

  private notifyListeners(change: ViewChange): void {
    for (const listener of this.listeners) listener(change);
  }

  private pruneRemovals(nowMs: number): void {
    for (const [runnerId, {removedMs: atMs}] of this.removed) {
      if (nowMs - atMs > REMOVAL_RETENTION_MS) this.removed.delete(runnerId);
    }
  }
}

function isNewer(a: Heartbeat, b: Heartbeat): boolean {
  if (a.bornMs !== b.bornMs) return a.bornMs > b.bornMs;
  return a.heartbeatNumber > b.heartbeatNumber;
}
