import {type Clock, type Logger, summarizeError} from '@banyanfold/core';
import type {
  FleetConfig,
  FleetHandlers,
  RoutePolicy,
  RunnerRegistration,
  RunnerStart,
} from '../types.js';
import {OrganisationDirectory} from '../callers/organisationDirectory.js';
import {RouteTable} from './routeTable.js';

/** How long the last heartbeat number of a removed runner is kept. */
const REMOVED_TTL_MS = 600_000;
/** Peers that have not heard of a removal by then have read the store. */
const REMOVAL_TOLD_MS = 10_000;
/** Bounds each exchange; of more removals, peers read the rest themselves. */
const MAX_REMOVALS_TOLD = 100;
/** Start of a runner that doesn't state it. */
const UNSTATED_START_MS = 0;
/** Lower than the number of any heartbeat. */
const BEFORE_FIRST_HEARTBEAT = -1;

/**
 * Describes what has changed, so that a listener need not check all runners.
 */
export type ViewChange =
  | {kind: 'config'}
  | {kind: 'caught-up'}
  /** Runners may have come and gone unseen within this time, in ms. */
  | {kind: 'runners-gap'; lengthMs: number}
  | {kind: 'runner' | 'runner-removed'; runnerId: string};

type ChangeListener = (change: ViewChange) => void;

/** Identifies a heartbeat of one start of a runner. */
type Heartbeat = Pick<RunnerRegistration, 'bornMs' | 'heartbeatNumber'>;

interface RemovedRunner extends Heartbeat {
  leaving: boolean;
  removedMs: number;
}

/** The last heartbeat of a runner whose registration was removed. */
export interface GoneRunner extends Heartbeat {
  runnerId: string;
}

/** Runners that must get no requests, as processes tell each other. */
export interface Departures {
  leavingRunners?: readonly RunnerStart[];
  goneRunners?: readonly GoneRunner[];
}

/** Who has stated that a runner is leaving, other than its registration. */
export type LeavingSource = 'response' | 'report' | 'peer';

/** The configuration and the runners as this process knows them. */
export class FleetView implements Omit<FleetHandlers, 'isRelayed'> {
  private config: FleetConfig | undefined;
  private routeTable = new RouteTable([]);
  /** Undefined if requests carry no API keys. */
  organisations: OrganisationDirectory | undefined;
  private readonly runners = new Map<string, RunnerRegistration>();
  private readonly removed = new Map<string, RemovedRunner>();
  /** Start times of the runners that are leaving. */
  private readonly leaving = new Map<string, number>();
  private readonly listeners = new Set<ChangeListener>();
  private readonly restartListeners = new Set<(runnerId: string) => void>();
  private isCaughtUp = false;
  /**
   * Highest priority number of all routes and organisations, where 0 is the
   * most urgent; 0 before a configuration is known.
   */
  lowestPriority = 0;
  /** When the configuration in force was last confirmed to be the newest. */
  private configConfirmedMs: number | undefined;
  /** All registrations and removals up to this time are known. */
  private runnersConfirmedMs: number | undefined;
  /** Since when changes may have been left out; undefined if none was. */
  private gapSinceMs: number | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  get currentConfig(): FleetConfig | undefined {
    return this.config;
  }

  /**
   * Time since the configuration in force was last confirmed to be the newest.
   */
  get configAgeMs(): number | undefined {
    if (this.configConfirmedMs === undefined) return undefined;
    return this.clock.nowMs() - this.configConfirmedMs;
  }

  /** Age of what is known of the runners; undefined before the first read. */
  get runnersAgeMs(): number | undefined {
    if (this.runnersConfirmedMs === undefined) return undefined;
    return this.clock.nowMs() - this.runnersConfirmedMs;
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

  /**
   * Adds a listener for changes of the view. Returns a function that removes
   * it.
   */
  onChange(listener: ChangeListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * Applies a configuration with a higher version only. A replayed record would
   * otherwise restore a replaced version, and requests would be routed by it.
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

  /**
   * Adds a listener that is called when a runner has restarted under its id.
   */
  onRestart(listener: (runnerId: string) => void): void {
    this.restartListeners.add(listener);
  }

  /**
   * Applies a heartbeat unless it is stale. A late or replayed heartbeat would
   * restore a runner that has left, and requests would go to whichever process
   * has its address now. The numbers restart with each start of a runner: when
   * only the numbers were compared, all heartbeats of a runner that had crashed
   * and restarted were ignored, and it got no request until its number exceeded
   * the previous one.
   */
  onRegistration(registration: RunnerRegistration): void {
    const {runnerId, bornMs, heartbeatNumber} = registration;
    const known = this.runners.get(runnerId);
    const last = known ?? this.removed.get(runnerId);
    if (last && !isNewer(registration, last)) return;
    const isRestart = last !== undefined && bornMs !== last.bornMs;
    // A runner that is leaving never returns without a restart, even if its
    // registration had expired meanwhile.
    const wasLeaving = !isRestart && (last?.leaving ?? false);
    const leaving = registration.leaving || wasLeaving;
    this.runners.set(runnerId, {...registration, leaving});
    this.removed.delete(runnerId);
    if (leaving) this.leaving.set(runnerId, bornMs);
    else this.leaving.delete(runnerId);
    if (isRestart) this.notifyRestart(runnerId);
    const hasNews =
      !known || isRestart || known.leaving !== leaving || known.isUnregistered;
    if (hasNews) {
      this.logger.info('runner', {
        runner: runnerId,
        bornMs,
        service: registration.service,
        software: registration.softwareVersion,
        address: registration.address,
        leaving,
        remainingMs: registration.remainingMs,
        heartbeat: heartbeatNumber,
        runnersAgeMs: this.roundedRunnersAgeMs,
      });
    }
    this.notifyListeners({kind: 'runner', runnerId});
  }

  /**
   * Records that a runner has started again, as its own report says. Its
   * registration may come seconds later, and what the one of the start before
   * says of models, leaving and software may be wrong for this start.
   *
   * @example view.noteStart({runnerId: 'i-1', bornMs: 1_700_000_000_000})
   */
  noteStart({runnerId, bornMs}: RunnerStart): void {
    const known = this.runners.get(runnerId);
    if (!known || bornMs <= known.bornMs) return;
    // Its registrations don't tell one incarnation from another.
    if (known.bornMs === UNSTATED_START_MS) return;
    this.runners.set(runnerId, {
      ...known,
      bornMs,
      softwareVersion: undefined,
      isUnregistered: true,
      leaving: false,
      remainingMs: undefined,
      models: known.models && [],
      heartbeatNumber: BEFORE_FIRST_HEARTBEAT,
    });
    this.leaving.delete(runnerId);
    this.notifyRestart(runnerId);
    this.logger.info('runner-restarted', {runner: runnerId, bornMs});
    this.notifyListeners({kind: 'runner', runnerId});
  }

  /**
   * Marks a runner as leaving because it said so itself. That counts until it
   * restarts: while the store is unavailable, the registration still says that
   * the runner is ready, and requests would go on to it until it stops.
   *
   * @param ageMs how old the statement is at least.
   * @example view.noteLeaving({runnerId: 'i-1', bornMs: 0}, 'response')
   */
  noteLeaving(
    {runnerId, bornMs}: RunnerStart,
    source: LeavingSource,
    ageMs = 0,
  ): void {
    const known = this.runners.get(runnerId);
    const removed = this.removed.get(runnerId);
    const last = known ?? removed;
    if (!last || last.bornMs !== bornMs || last.leaving) return;
    if (known) {
      this.leaving.set(runnerId, bornMs);
      this.runners.set(runnerId, {...known, leaving: true});
    } else if (removed) removed.leaving = true;
    this.logger.info('runner-leaving', {
      runner: runnerId,
      bornMs,
      source,
      ageMs: Math.round(ageMs),
    });
    if (known) this.notifyListeners({kind: 'runner', runnerId});
  }

  /**
   * The runners that are leaving or gone, whoever said so, for the other
   * entries: one that can't reach the store doesn't read it there.
   */
  departures(): {leavingRunners: RunnerStart[]; goneRunners: GoneRunner[]} {
    const sinceMs = this.clock.nowMs() - REMOVAL_TOLD_MS;
    const goneRunners = [...this.removed]
      .filter(([, {removedMs}]) => removedMs > sinceMs)
      .slice(-MAX_REMOVALS_TOLD)
      .map(([runnerId, {bornMs, heartbeatNumber}]) => {
        return {runnerId, bornMs, heartbeatNumber};
      });
    const leavingRunners = [...this.leaving].map(([runnerId, bornMs]) => {
      return {runnerId, bornMs};
    });
    return {leavingRunners, goneRunners};
  }

  /**
   * Applies what a peer knows of runners that are leaving or gone.
   *
   * @param ageMs how old the peer's knowledge is at least.
   * @example view.noteDepartures({leavingRunners: [{runnerId: 'i-1', bornMs: 0}]})
   */
  noteDepartures(
    {leavingRunners = [], goneRunners = []}: Departures,
    ageMs = 0,
  ): void {
    for (const runner of leavingRunners) {
      this.noteLeaving(runner, 'peer', ageMs);
    }
    for (const {runnerId, bornMs, heartbeatNumber} of goneRunners) {
      const known = this.runners.get(runnerId);
      // A later heartbeat means that the runner has registered again.
      const isGone =
        known?.bornMs === bornMs && known.heartbeatNumber <= heartbeatNumber;
      if (isGone) this.remove({...known, heartbeatNumber}, 'peer');
    }
  }

  onRemoval(runnerId: string): void {
    const known = this.runners.get(runnerId);
    if (known) this.remove(known, 'store');
  }

  private remove(known: RunnerRegistration, source: 'store' | 'peer'): void {
    const nowMs = this.clock.nowMs();
    const {runnerId} = known;
    this.runners.delete(runnerId);
    this.leaving.delete(runnerId);
    this.pruneRemovals(nowMs);
    const {bornMs, heartbeatNumber, leaving} = known;
    this.removed.set(runnerId, {
      bornMs,
      heartbeatNumber,
      leaving,
      removedMs: nowMs,
    });
    this.logger.info('runner-removed', {
      runner: runnerId,
      source,
      runnersAgeMs: this.roundedRunnersAgeMs,
    });
    this.notifyListeners({kind: 'runner-removed', runnerId});
  }

  onRunnersCurrent(atMs: number): void {
    this.runnersConfirmedMs = Math.max(this.runnersConfirmedMs ?? atMs, atMs);
  }

  /** Records that changes of the runners were deleted before they were read. */
  onRunnersGap(): void {
    this.gapSinceMs ??= this.runnersConfirmedMs;
  }

  /** Records that all runners have been read that are registered. */
  onCaughtUp(): void {
    if (this.gapSinceMs !== undefined) {
      const lengthMs = this.clock.nowMs() - this.gapSinceMs;
      this.gapSinceMs = undefined;
      this.logger.info('runners-gap', {lengthMs: Math.round(lengthMs)});
      this.notifyListeners({kind: 'runners-gap', lengthMs});
    }
    if (this.isCaughtUp) return;
    this.isCaughtUp = true;
    this.logger.info('runners-known', {runners: this.runners.size});
    this.notifyListeners({kind: 'caught-up'});
  }

  /**
   * Records that the configuration in force was the newest one at a time, in
   * ms.
   */
  onConfigCurrent(atMs = this.clock.nowMs()): void {
    if (!this.config) return;
    this.configConfirmedMs = Math.max(this.configConfirmedMs ?? atMs, atMs);
  }

  /** Whether the configuration in force was confirmed within this time. */
  isConfigConfirmed(withinMs: number): boolean {
    return this.configAgeMs !== undefined && this.configAgeMs <= withinMs;
  }

  private get roundedRunnersAgeMs(): number | undefined {
    const {runnersAgeMs: ageMs} = this;
    return ageMs === undefined ? undefined : Math.round(ageMs);
  }

  private notifyListeners(change: ViewChange): void {
    for (const listener of this.listeners) {
      this.tryNotify(change.kind, () => listener(change));
    }
  }

  private notifyRestart(runnerId: string): void {
    for (const listener of this.restartListeners) {
      this.tryNotify('restart', () => listener(runnerId));
    }
  }

  /** A failure of one listener must not hide the change from the others. */
  private tryNotify(change: string, notify: () => void): void {
    try {
      notify();
    } catch (thrown) {
      const error = summarizeError(thrown);
      this.logger.error('listener-failed', {change, error});
    }
  }

  private pruneRemovals(nowMs: number): void {
    for (const [runnerId, {removedMs}] of this.removed) {
      if (nowMs - removedMs <= REMOVED_TTL_MS) continue;
      this.removed.delete(runnerId);
    }
  }
}

function isNewer(a: Heartbeat, b: Heartbeat): boolean {
  if (a.bornMs !== b.bornMs) return a.bornMs > b.bornMs;
  return a.heartbeatNumber > b.heartbeatNumber;
}
