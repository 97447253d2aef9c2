import {ConfigFold, publishedConfigSchema} from '@banyanfold/config';
import {ConfigFollower} from '../configFollower.js';
import {FakeLog, PausableLog} from './fakeLog.js';
import {createTestDependencies, createRandom} from './testKit.js';

export const NODES = 3;
export const RETENTION_MS = 60_000;
const IN_FLIGHT_MS = 1_000;

export interface ConfigNode {
  gate: PausableLog;
  follower: ConfigFollower;
  lastVersion: number;
}

export interface Publish {
  nonce: string;
  outcome: string;
}

function bodyOf(name: string) {
  return publishedConfigSchema.parse({services: [{name}]});
}

/**
 * Nodes that follow the configuration, and the results of publishing at them.
 */
export class ConfigCluster {
  readonly dependencies = createTestDependencies();
  readonly log = new FakeLog(this.dependencies.clock, RETENTION_MS);
  readonly nodes: ConfigNode[] = [];
  readonly publishes: Publish[] = [];
  arePeersReachable = true;
  private serial = 0;

  constructor() {
    for (let index = 0; index < NODES; index++) this.start(index);
  }

  /** Starts a node, or replaces it by one without state. */
  start(index: number): void {
    const old = this.nodes[index];
    old?.follower.stop();
    const gate = new PausableLog(this.log);
    const follower = new ConfigFollower({
      ...this.dependencies,
      random: createRandom(++this.serial),
      log: gate,
      vmId: `node-${index}`,
      liveVmIds: () => ['node-0', 'node-1', 'node-2'],
      retentionMs: RETENTION_MS,
      fetchPeerSnapshots: async () => this.peersOf(index),
      createNonce: () => `nonce-${++this.serial}`,
    });
    follower.start();
    this.nodes[index] = {gate, follower, lastVersion: 0};
  }

  publish(index: number, isStale: boolean): void {
    const {follower} = this.nodes[index]!;
    const nonce = follower.needsBase ? 'none' : `nonce-${this.serial + 1}`;
    const baseVersion = isStale ? follower.version - 1 : follower.version;
    void follower
      .publishConfig({
        baseVersion: Math.max(0, baseVersion),
        publisher: 'ana',
        body: bodyOf(nonce),
      })
      .then(result => {
        const outcome = result.match(
          ({kind}) => kind,
          ({code}) => code,
        );
        this.publishes.push({nonce, outcome});
      });
  }

  /** Folds all records, including those that the log has trimmed. */
  foldWholeLog(): {fold: ConfigFold; versions: number[]} {
    const fold = new ConfigFold();
    const versions = [0];
    for (const record of this.log.allRecords) {
      fold.apply(record);
      versions.push(fold.state?.version ?? 0);
    }
    return {fold, versions};
  }

  /**
   * Ends all faults. Appends in flight may start an outage, so they finish
   * first.
   */
  async recover(): Promise<void> {
    this.log.delayMs = 0;
    this.log.faults.length = 0;
    this.arePeersReachable = true;
    for (const {gate} of this.nodes) gate.resume();
    await this.dependencies.clock.advance(IN_FLIGHT_MS);
    this.log.isOut = false;
  }

  private peersOf(index: number): unknown[] {
    if (!this.arePeersReachable) throw new Error('no peer is reachable');
    return this.nodes
      .filter((_, other) => other !== index)
      .map(({follower}) => follower.state);
  }
}
