import {compileConfig, type CompiledConfig} from '@banyanfold/config';
import {
  type Clock,
  type Logger,
  runInBackground,
  type Timer,
} from '@banyanfold/core';
import {ConfigFollower, type LogService} from '@banyanfold/log';
import {createEntryClient, type ConfigSnapshot} from '@banyanfold/protocol';
import type {EntrySettings} from '../settings.js';
import type {ClusterView} from '../view/clusterView.js';

/** Each peer holds the newest configuration, so a sample is enough. */
const MAX_PEERS_QUERIED = 8;

export interface ConfigWatchOptions {
  settings: EntrySettings;
  clock: Clock;
  logger: Logger;
  random: () => number;
  log: LogService;
  view: ClusterView;
}

/** Follows the active configuration and compiles it for look-ups. */
export class ConfigWatch {
  private readonly follower: ConfigFollower;
  private compiled: CompiledConfig | undefined;
  private caughtUp = false;
  private peersAnswered = false;
  private logWaitElapsed = false;
  private timers: Timer[] = [];
  private stopped = false;

  constructor(private readonly options: ConfigWatchOptions) {
    const {settings, clock, logger, random, log, view} = options;
    this.follower = new ConfigFollower({
      log,
      clock,
      logger,
      random,
      vmId: settings.vmId,
      liveVmIds: () => view.plannerCandidates(false),
      retentionMs: settings.logRetentionMs,
      fetchPeerSnapshots: () => this.queryPeers(),
      onChange: state => {
        this.compiled = compileConfig(state.body);
      },
    });
  }

  /** The active configuration, or undefined if none is known. */
  get current(): CompiledConfig | undefined {
    return this.compiled;
  }

  /** The current time of the log, or undefined before the first read. */
  get logNowMs(): number | undefined {
    return this.follower.logNowMs;
  }

  get version(): number {
    return this.follower.version;
  }

  /**
   * Whether requests may be served by the current configuration. A new VM must
   * not serve by a version older than that of its peers or the log, since an
   * accepted change would appear to be reverted. The wait for the log is
   * bounded: while the log is down, the newest version among the peers is
   * enough, because nothing newer can be published.
   */
  get ready(): boolean {
    if (!this.compiled) return false;
    return this.caughtUp || (this.peersAnswered && this.logWaitElapsed);
  }

  snapshot(): ConfigSnapshot | undefined {
    return this.follower.state;
  }

  start(): void {
    const {clock, logger, settings} = this.options;
    runInBackground({logger, step: 'follow-config'}, async () => {
      await this.follower.caughtUp();
      this.caughtUp = true;
    });
    this.follower.start();
    this.timers.push(
      clock.setTimer(settings.configLogWaitMs, () => {
        this.logWaitElapsed = true;
      }),
    );
    this.scheduleNextPeerQuery();
  }

  stop(): void {
    this.stopped = true;
    for (const timer of this.timers) timer.cancel();
    this.follower.stop();
  }

  /** Repeats the query: the VM list may not have named any peers at first. */
  private scheduleNextPeerQuery(): void {
    const {clock, settings} = this.options;
    const timer = clock.setTimer(settings.vmListIntervalMs, async () => {
      if (this.stopped || this.ready) return;
      const snapshots = await this.queryPeers();
      for (const snapshot of snapshots) this.follower.restore(snapshot);
      if (!this.stopped) this.scheduleNextPeerQuery();
    });
    this.timers = [...this.timers.slice(0, 1), timer];
  }

  private async queryPeers(): Promise<unknown[]> {
    const {settings, view} = this.options;
    const sampledPeers = this.samplePeers(view.peers());
    const responses = await Promise.allSettled(
      sampledPeers.map(({host, port}) =>
        createEntryClient({
          host,
          port,
          internalKey: settings.internalKey,
          timeoutMs: settings.reportTimeoutMs,
        }).configSnapshot.query(),
      ),
    );
    const snapshots = responses
      .filter(response => response.status === 'fulfilled')
      .map(answer => answer.value)
      .filter(snapshot => snapshot.version > 0);
    if (snapshots.length > 0) this.peersAnswered = true;
    return snapshots;
  }

  private samplePeers<T>(peers: readonly T[]): T[] {
    const {random} = this.options;
    return peers
      .map(peer => ({peer, rank: random()}))
      .sort((a, b) => a.rank - b.rank)
      .slice(0, MAX_PEERS_QUERIED)
      .map(({peer}) => peer);
  }
}
