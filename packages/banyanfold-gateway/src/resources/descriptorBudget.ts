import {readdirSync} from 'node:fs';
import type {Socket} from 'node:net';
import type {Metrics} from '@banyanfold/core';
import type {RunnerConnections} from '../runners/runnerConnections.js';
import {decideDescriptors} from './decideDescriptors.js';

/** Kept for files, listeners, and connections to peers and the store. */
const RESERVED_DESCRIPTORS = 200;
/**
 * Connections of callers that only wait to be refused. They are taken from the
 * reserve, half of which they may use.
 */
const MAX_REFUSED_CALLERS = 100;
/** Idle connections are closed in batches, as each search orders all of them. */
const MIN_CLOSED_AT_ONCE = 16;
const OWN_DESCRIPTORS = '/proc/self/fd';

export interface DescriptorBudgetOptions {
  metrics: Metrics;
  maxDescriptors: number;
  connections: RunnerConnections;
  /** Counts all descriptors of the process; undefined if not known. */
  countAll?: () => number | undefined;
}

/** Keeps the connections of a process within its descriptors. */
export class DescriptorBudget {
  private readonly callers = new Set<Socket>();
  private readonly refused = new Set<Socket>();
  private otherDescriptors = 0;
  private openRequests: () => number = () => 0;

  constructor(private readonly options: DescriptorBudgetOptions) {
    const {metrics} = options;
    metrics.gauge('caller_connections', () => this.callers.size);
    metrics.gauge('connections_limit', () => this.limit);
  }

  /** Sets how the open requests of callers are counted. */
  countRequestsBy(openRequests: () => number): void {
    this.openRequests = openRequests;
  }

  /** Descriptors that connections to callers and runners may take. */
  get limit(): number {
    const reserved = Math.max(
      RESERVED_DESCRIPTORS,
      this.otherDescriptors + MAX_REFUSED_CALLERS,
    );
    return this.options.maxDescriptors - reserved;
  }

  /** Counts a new connection of a caller, which may only be refused on it. */
  addCaller(socket: Socket): void {
    // One more for the connection to a runner that its request needs.
    const isAvailable = this.makeAvailable(2);
    if (!isAvailable && this.refused.size >= MAX_REFUSED_CALLERS) {
      this.options.metrics.count('caller_connections_closed_total');
      socket.destroy();
      return;
    }
    const group = isAvailable ? this.callers : this.refused;
    group.add(socket);
    socket.once('close', () => group.delete(socket));
  }

  /** Whether a request that has arrived can get a connection to a runner. */
  canServe(socket: Socket): boolean {
    return !this.refused.has(socket) && this.makeAvailable(0);
  }

  /** Measures what other connections and files take. */
  measure(): void {
    const {countAll = countOwnDescriptors, connections} = this.options;
    const all = countAll();
    if (all === undefined) return;
    const counted =
      this.callers.size + this.refused.size + connections.openCount;
    this.otherDescriptors = Math.max(0, all - counted);
  }

  private makeAvailable(wanted: number): boolean {
    const {connections, metrics} = this.options;
    // Idle connections are only counted when it may matter.
    const maxUsed =
      this.callers.size + this.openRequests() + connections.openCount;
    if (maxUsed + wanted <= this.limit) return true;
    const {isAvailable, idleRunnersToClose} = decideDescriptors({
      limit: this.limit,
      callers: this.callers.size,
      requests: this.openRequests(),
      idleRunners: connections.idleCount,
      wanted,
    });
    if (idleRunnersToClose > 0) {
      const count = Math.max(idleRunnersToClose, MIN_CLOSED_AT_ONCE);
      const closed = connections.closeLongestIdle(count);
      metrics.count('idle_runner_connections_closed_total', {}, closed);
    }
    return isAvailable;
  }
}

/** Returns undefined where the operating system doesn't list them. */
function countOwnDescriptors(): number | undefined {
  try {
    return readdirSync(OWN_DESCRIPTORS).length;
  } catch {
    return undefined;
  }
}
