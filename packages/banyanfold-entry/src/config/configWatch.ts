import {compileConfig, type CompiledConfig} from '@banyanfold/config';
import type {Clock, Logger, Timer} from '@banyanfold/core';
import {ConfigFollower, type LogService} from '@banyanfold/log';
import {createEntryClient, type ConfigSnapshot} from '@banyanfold/protocol';
import type {EntrySettings} from '../settings.js';
import type {ClusterView} from '../view/clusterView.js';

/** As many peers are asked for their configuration; each has the newest. */
const PEERS_ASKED = 8;

export interface ConfigWatchOptions {
  settings: EntrySettings;
  clock: Clock;
  logger: Logger;
  random: () => number;
  log: LogService;
  view: ClusterView;
}

/** Keeps the configuration in force, compiled for look-ups. */
export class ConfigWatch {
  private readonly follower: ConfigFollower;
  private compiled: CompiledConfig | undefined;
  private caughtUp = false;
  private peersAnswered = false;
  private peersSuffice = false;
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
      fetchPeerSnapshots: () => this.askPeers(),
      onChange: state => {
        this.compiled = compileConfig(state.body);
      },
    });
  }

  /** The configuration in force, or undefined when none is known. */
  get current(): CompiledConfig | undefined {
    return this.compiled;
  }

  /** The log's clock now, or undefined before the log was ever read. */
  get logNowMs(): number | undefined {
    return this.follower.logNowMs;
  }

  get version(): number {
    return this.follower.version;
  }

  /**
   * Whether requests may be served by it. A new VM could otherwise serve by a
   * version older than its peers' or the log's, and an accepted change would
   * seem to go back. The log is waited for, but not for ever: while it is down
   * the newest among the peers is enough, for nothing newer can be published.
   */
  get ready(): boolean {
    if (!this.compiled) return false;
    return this.caughtUp || (this.peersAnswered && this.peersSuffice);
  }

  snapshot(): ConfigSnapshot | undefined {
    return this.follower.state;
  }

  start(): void {
    const {clock, settings} = this.options;
    void this.follower.caughtUp().then(() => {
      this.caughtUp = true;
    });
    this.follower.start();
    this.timers.push(
      clock.setTimer(settings.configLogWaitMs, () => {
        this.peersSuffice = true;
      }),
    );
    this.askAgainUntilReady();
  }

  stop(): void {
    this.stopped = true;
    for (const timer of this.timers) timer.cancel();
    this.follower.stop();
  }

  /** The VM list may have named no peers yet when the first ones were asked. */
  private askAgainUntilReady(): void {
    const {clock, settings} = this.options;
    const timer = clock.setTimer(settings.vmListIntervalMs, async () => {
      if (this.stopped || this.ready) return;
      const snapshots = await this.askPeers();
      for (const snapshot of snapshots) this.follower.restore(snapshot);
      if (!this.stopped) this.askAgainUntilReady();
    });
    this.timers = [...this.timers.slice(0, 1), timer];
  }

  private async askPeers(): Promise<unknown[]> {
    const {settings, view} = this.options;
    const asked = this.samplePeers(view.peers());
    const answers = await Promise.allSettled(
      asked.map(({host, port}) =>
        createEntryClient({
          host,
          port,
          internalKey: settings.internalKey,
          timeoutMs: settings.reportTimeoutMs,
        }).configSnapshot.query(),
      ),
    );
    const snapshots = answers
      .filter(answer => answer.status === 'fulfilled')
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
      .slice(0, PEERS_ASKED)
      .map(({peer}) => peer);
  }
}
