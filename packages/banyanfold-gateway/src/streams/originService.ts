import type {Clock, Logger, Metrics} from '@banyanfold/core';
import {
  DEFAULT_CHOOSE_REPLICAS_OPTIONS,
  type Replica,
} from '@banyanfold/decisions';
import type {GatewayOptions} from '../options.js';
import {fetchOrigins} from '../peers/peerClient.js';
import {PeerClients} from '../peers/peerClients.js';
import type {NoteOriginsInput} from '../peers/peerContract.js';
import type {
  LeaseSource,
  OriginBatchStore,
  VersionNoteStore,
} from '../types.js';
import type {FleetView} from '../view/fleetView.js';
import {OriginAppender} from './originAppender.js';
import {OriginLookup} from './originLookup.js';
import {OriginReplicator, type ReplicatedOrigin} from './originReplicator.js';
import type {ReplicaList} from './replicaList.js';
import {StoredOrigins} from './storedOrigins.js';
import {StreamOrigins} from './streamOrigins.js';
import {VersionNotes} from './versionNotes.js';

export interface OriginServiceOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  options: GatewayOptions;
  lease: LeaseSource;
  view: FleetView;
  /** This process, as a replica of others. */
  self: Replica;
  replicaList: ReplicaList;
  noteStore: VersionNoteStore;
  batchStore: OriginBatchStore;
  entryCount(): number;
  /** Reads the runners at once; see `FleetSource`. */
  confirmRunners(): Promise<boolean>;
}

/** Two replicas, and one that replaces a replica that was lost. */
const MAX_REPLICA_CLIENTS = 3;
/** A replica that is awake answers within some ms, a busy one within 0.3 s. */
const LOOKUP_TIMEOUT_MS = 300;

/** The origins of streams, with their replication, lookup and notes. */
export class OriginService {
  readonly origins: StreamOrigins;
  private readonly replicator: OriginReplicator;
  private readonly appender: OriginAppender;
  private readonly notes: VersionNotes;
  private readonly clients: PeerClients;

  constructor(private readonly deps: OriginServiceOptions) {
    const {clock, logger, metrics, options, lease, view, self} = deps;
    const {replicaList, entryCount, batchStore} = deps;
    this.clients = new PeerClients(
      options.peerTimeoutMs,
      options.adapterTimeoutMs,
      MAX_REPLICA_CLIENTS,
    );
    this.appender = new OriginAppender({
      clock,
      logger,
      metrics,
      store: batchStore,
      writerCount: () => replicaList.replicas?.length,
    });
    this.replicator = new OriginReplicator({
      clock,
      logger,
      metrics,
      self,
      replicas: () => replicaList.replicas,
      batchIntervalMs: () => this.batchIntervalMs,
      send: (replica, origins) => this.sendOrigins(replica, origins),
      append: origin => this.appender.add([origin]),
    });
    replicaList.onChange = () => this.replicator.resume();
    this.origins = new StreamOrigins({
      clock,
      metrics,
      view,
      lookup: new OriginLookup({
        clock,
        logger,
        address: self.address,
        replicas: () => replicaList.replicas,
        entryCount,
        ask: (replica, input) =>
          fetchOrigins(replica, input, LOOKUP_TIMEOUT_MS),
      }),
      stored: new StoredOrigins({
        clock,
        logger,
        metrics,
        store: batchStore,
        memoryMs: options.streamMemoryMs,
      }),
      replicator: this.replicator,
      memoryMs: options.streamMemoryMs,
      notedServices: () => this.notes.services,
      untilNotesRead: () => this.notes.untilRead(),
      confirmRunners: deps.confirmRunners,
    });
    this.notes = new VersionNotes({
      clock,
      logger,
      store: deps.noteStore,
      lease,
      history: () => this.origins.history,
    });
  }

  start(): void {
    this.notes.start();
  }

  stop(): void {
    this.notes.stop();
    this.replicator.stop();
    this.appender.stop();
    this.clients.close();
  }

  /** Keeps records for the entry that sent them. */
  handleNote({origins, services}: NoteOriginsInput): void {
    const records = origins.map(([requestId, version]) => ({
      requestId,
      version,
    }));
    this.origins.keep(records);
    this.appender.add(
      records.flatMap((record, i) => {
        const service = services?.[i];
        return service ? [{...record, service}] : [];
      }),
    );
  }

  private get batchIntervalMs(): number {
    const {options, entryCount} = this.deps;
    const isSmall =
      entryCount() <= DEFAULT_CHOOSE_REPLICAS_OPTIONS.maxSmallFleet;
    return isSmall ? options.originBatchMs : options.largeFleetOriginBatchMs;
  }

  private async sendOrigins(
    replica: string,
    origins: readonly ReplicatedOrigin[],
  ): Promise<void> {
    const pairs = origins.map(
      ({requestId, version}) => [requestId, version] as [string, string],
    );
    try {
      const client = this.clients.clientFor(replica);
      const services = origins.some(({shouldAppend}) => shouldAppend)
        ? origins.map(each => (each.shouldAppend ? each.service : null))
        : undefined;
      await client.noteOrigins({origins: pairs, services});
    } catch (thrown) {
      this.clients.drop(replica);
      throw thrown;
    }
  }
}
