import {
  type Clock,
  MemoryLogger,
  Metrics,
  sleep,
  VirtualClock,
} from '@banyanfold/core';
import {DEFAULT_OPTIONS} from '../options.js';
import type {
  FindOriginsInput,
  FindOriginsOutput,
} from '../peers/peerContract.js';
import {OriginLookup} from '../streams/originLookup.js';
import type {StreamOrigin} from '../streams/originRecords.js';
import {OriginReplicator} from '../streams/originReplicator.js';
import {
  StreamOrigins,
  type ResolvedContinuation,
} from '../streams/streamOrigins.js';
import {FleetView} from '../view/fleetView.js';

export const SERVICE = 'drafting';
export const HOP_MS = 2;
const SLOW_HOP_MS = 120;
const POLL_MS = 400;
const CALL_TIMEOUT_MS = 300;
const READ_TIMEOUT_MS = 1_000;

/** The clock of a process that can be stopped; time passes meanwhile. */
class StoppableClock implements Clock {
  private stoppedUntilMs = 0;

  constructor(private readonly shared: VirtualClock) {}

  nowMs(): number {
    return this.shared.nowMs();
  }

  wallMs(): number {
    return this.shared.wallMs();
  }

  setTimer(delayMs: number, callback: () => void) {
    return this.shared.setTimer(delayMs, () => this.whenRunning(callback));
  }

  stop(forMs: number): void {
    this.stoppedUntilMs = this.nowMs() + forMs;
  }

  whenRunning(callback: () => void): void {
    const restMs = this.stoppedUntilMs - this.nowMs();
    if (restMs <= 0) return callback();
    this.shared.setTimer(restMs, () => this.whenRunning(callback));
  }
}

interface RunnerRecord {
  runnerId: string;
  /** Undefined when the registration is removed. */
  version: string | undefined;
}

/** The registrations of the runners, with their history. */
class Store {
  readonly records: RunnerRecord[] = [];
  firstOffset = 0;

  put(runnerId: string, version?: string): void {
    this.records.push({runnerId, version});
  }

  deleteHistory(): void {
    this.firstOffset = this.records.length;
  }

  newest(): Map<string, string> {
    const newest = new Map<string, string>();
    for (const {runnerId, version} of this.records) {
      if (version === undefined) newest.delete(runnerId);
      else newest.set(runnerId, version);
    }
    return newest;
  }
}

/** Messages that an entry loses, by direction. */
interface Cut {
  toStore: boolean;
  fromStore: boolean;
  toPeers: boolean;
  fromPeers: boolean;
}

export const NO_CUT: Cut = {
  toStore: false,
  fromStore: false,
  toPeers: false,
  fromPeers: false,
};

export class Entry {
  readonly clock: StoppableClock;
  readonly view: FleetView;
  readonly origins: StreamOrigins;
  readonly address: string;
  cut = NO_CUT;
  hopMs = HOP_MS;
  isKilled = false;
  /** Addresses that the holder has named to this entry. */
  replicas: readonly string[];
  reads = 0;
  asked = 0;
  private offset: number | undefined;

  constructor(
    readonly index: number,
    private readonly fleet: Fleet,
  ) {
    this.address = addressOf(index);
    this.replicas = fleet.addresses;
    this.clock = new StoppableClock(fleet.clock);
    const {clock, address} = this;
    const logger = new MemoryLogger();
    const metrics = new Metrics();
    this.view = new FleetView(clock, logger);
    const replicas = () => this.replicaList();
    this.origins = new StreamOrigins({
      clock,
      metrics,
      view: this.view,
      lookup: new OriginLookup({
        logger: new MemoryLogger(),
        clock,
        address,
        replicas,
        entryCount: () => fleet.addresses.length,
        ask: (to, input) => this.ask(to, input),
      }),
      replicator: new OriginReplicator({
        clock,
        logger,
        metrics,
        self: {address, failureDomain: address},
        replicas,
        batchIntervalMs: () => DEFAULT_OPTIONS.originBatchMs,
        send: (to, origins) => this.send(to, origins),
        // No origin is kept in the store, so that none helps the decision.
        append: () => {},
      }),
      stored: {
        find: async () => ({
          version: undefined,
          isMixed: false,
          isCurrent: !this.cut.toStore && !this.cut.fromStore,
        }),
        refresh: () => {},
      },
      memoryMs: DEFAULT_OPTIONS.streamMemoryMs,
      notedServices: () => new Set(),
      untilNotesRead: () => Promise.resolve(),
      confirmRunners: () => this.read(),
    });
    clock.setTimer((index * POLL_MS) / 3, () => void this.poll());
    clock.setTimer(POLL_MS, () => this.refresh());
  }

  /** Reads what is new in the store; resolves to whether nothing was missed. */
  async read(): Promise<boolean> {
    const {store} = this.fleet;
    const sentMs = this.clock.nowMs();
    this.reads += 1;
    await sleep(this.clock, this.hopMs);
    const arrived = !this.cut.toStore;
    const from = this.offset;
    const end = store.records.length;
    const newest = store.newest();
    const isDeleted = from !== undefined && from < store.firstOffset;
    await sleep(this.clock, this.hopMs);
    if (!arrived || this.cut.fromStore || this.isKilled) {
      await sleep(this.clock, READ_TIMEOUT_MS);
      return false;
    }
    if (isDeleted) this.view.onRunnersGap();
    if (from === undefined || isDeleted) this.applyNewest(newest);
    else {
      store.records.slice(from, end).forEach((record, i) => {
        this.apply(record, from + i);
      });
    }
    this.offset = Math.max(this.offset ?? 0, end);
    if (from === undefined || isDeleted) this.view.onCaughtUp();
    this.view.onRunnersCurrent(sentMs);
    return !isDeleted;
  }

  takeUp(requestId: string): Promise<ResolvedContinuation> {
    return new Promise(resolve => {
      this.clock.whenRunning(() => {
        void this.origins.resolve(requestId, SERVICE).then(resolve);
      });
    });
  }

  private async poll(): Promise<void> {
    await this.read();
    if (!this.isKilled) this.clock.setTimer(POLL_MS, () => void this.poll());
  }

  private refresh(): void {
    this.origins.refresh();
    if (!this.isKilled) this.clock.setTimer(POLL_MS, () => this.refresh());
  }

  private replicaList() {
    return this.replicas.map(address => ({address, failureDomain: address}));
  }

  private applyNewest(newest: ReadonlyMap<string, string>): void {
    for (const {runnerId} of [...this.view.allRunners()]) {
      if (!newest.has(runnerId)) this.view.onRemoval(runnerId);
    }
    for (const [runnerId, version] of newest) {
      this.apply({runnerId, version}, this.fleet.store.records.length);
    }
  }

  private apply({runnerId, version}: RunnerRecord, heartbeat: number): void {
    if (version === undefined) return this.view.onRemoval(runnerId);
    this.view.onRegistration({
      runnerId,
      softwareVersion: version,
      bornMs: 1,
      service: SERVICE,
      address: '127.0.0.1:1',
      failureDomain: 'hall-a',
      slots: 8,
      leaving: false,
      heartbeatNumber: heartbeat,
    });
  }

  private async send(to: string, origins: StreamOrigin[]): Promise<void> {
    const isTaken = await this.call(to, peer => peer.origins.keep(origins));
    if (!isTaken) throw new Error('no answer');
  }

  private async ask(
    to: string,
    input: FindOriginsInput,
  ): Promise<FindOriginsOutput | undefined> {
    this.asked += 1;
    let output: FindOriginsOutput | undefined;
    const isAnswered = await this.call(to, peer => {
      output = peer.origins.handleFind(input);
    });
    return isAnswered ? output : undefined;
  }

  /** Has a peer handle a request; resolves to whether its answer came in time. */
  private call(to: string, handle: (peer: Entry) => void): Promise<boolean> {
    const {clock} = this;
    const peer = this.fleet.entryAt(to);
    const isSeparated = this.fleet.areSeparated(this, peer);
    return new Promise(resolve => {
      clock.setTimer(CALL_TIMEOUT_MS, () => resolve(false));
      if (this.isKilled) return;
      if (isSeparated && (this.cut.toPeers || peer.cut.fromPeers)) return;
      clock.setTimer(this.hopMs + peer.hopMs, () => {
        if (peer.isKilled) return;
        peer.clock.whenRunning(() => {
          handle(peer);
          if (isSeparated && (this.cut.fromPeers || peer.cut.toPeers)) return;
          clock.setTimer(this.hopMs + peer.hopMs, () => resolve(true));
        });
      });
    });
  }
}

function addressOf(index: number): string {
  return `e${index}:7`;
}

export class Fleet {
  readonly clock = new VirtualClock();
  readonly store = new Store();
  readonly addresses: string[];
  /** Entries that reach each other while they are cut off from the others. */
  partition = new Set<Entry>();
  private readonly entries: Entry[];

  constructor(count: number) {
    this.addresses = Array.from({length: count}, (_, i) => addressOf(i));
    for (const runnerId of ['r1', 'r2']) this.store.put(runnerId, 'v1');
    this.entries = this.addresses.map((_, i) => new Entry(i, this));
  }

  entry(index: number): Entry {
    return this.entries[index]!;
  }

  entryAt(address: string): Entry {
    return this.entries.find(entry => entry.address === address)!;
  }

  areSeparated(a: Entry, b: Entry): boolean {
    return !(this.partition.has(a) && this.partition.has(b));
  }

  /** A new process at the address of one that was killed. */
  restart(index: number): void {
    this.entries[index]!.isKilled = true;
    this.entries[index] = new Entry(index, this);
  }
}

export const TROUBLES: Record<string, (entry: Entry, forMs: number) => void> = {
  none: () => {},
  'cut off from the store': entry => {
    entry.cut = {...NO_CUT, toStore: true, fromStore: true};
  },
  'without answers of the store': entry => {
    entry.cut = {...NO_CUT, fromStore: true};
  },
  'cut off from peers': entry => {
    entry.cut = {...NO_CUT, toPeers: true, fromPeers: true};
  },
  'without answers of anyone': entry => {
    entry.cut = {...NO_CUT, fromStore: true, fromPeers: true};
  },
  'unable to send': entry => {
    entry.cut = {...NO_CUT, toStore: true, toPeers: true};
  },
  'cut off from all': entry => {
    entry.cut = {
      toStore: true,
      fromStore: true,
      toPeers: true,
      fromPeers: true,
    };
  },
  stopped: (entry, forMs) => entry.clock.stop(forMs),
  slow: entry => {
    entry.hopMs = SLOW_HOP_MS;
  },
};
