import {MemoryLogger, Metrics, VirtualClock} from '@banyanfold/core';
import {chooseReplicas, type Replica} from '@banyanfold/decisions';
import {beforeEach, describe, expect, it} from 'vitest';
import {DEFAULT_OPTIONS} from '../options.js';
import {OriginAppender} from '../streams/originAppender.js';
import {OriginReplicator} from '../streams/originReplicator.js';
import {StoredOrigins} from '../streams/storedOrigins.js';
import {FakeOriginBatchStore} from './fakeOriginBatchStore.js';

const SERVICE = 'drafting';
const DOMAINS = 6;
const STREAMS_PER_SECOND = 20;
const SECONDS = 4;
const STEP_MS = 50;

let clock: VirtualClock;
let store: FakeOriginBatchStore;

beforeEach(() => {
  clock = new VirtualClock();
  store = new FakeOriginBatchStore();
});

/** Entries that send records to each other and append to one store. */
class Fleet {
  private readonly replicas: Replica[];
  private readonly appenders = new Map<string, OriginAppender>();
  private readonly replicators: OriginReplicator[];
  private begun = 0;

  constructor(count: number) {
    const entries = Array.from({length: count}, (_, i) => ({
      address: `e${i}:7`,
      failureDomain: `domain-${i % DOMAINS}`,
      processorShare: 0.5,
    }));
    this.replicas = chooseReplicas(entries, new Set());
    const isSmall = this.replicas.length === count;
    this.replicators = entries.map(self => {
      const appender = new OriginAppender({
        clock,
        logger: new MemoryLogger(),
        metrics: new Metrics(),
        store,
        writerCount: () => this.replicas.length,
      });
      this.appenders.set(self.address, appender);
      return new OriginReplicator({
        clock,
        logger: new MemoryLogger(),
        metrics: new Metrics(),
        self,
        replicas: () => this.replicas,
        batchIntervalMs: () =>
          isSmall
            ? DEFAULT_OPTIONS.originBatchMs
            : DEFAULT_OPTIONS.largeFleetOriginBatchMs,
        append: origin => appender.add([origin]),
        send: async (to, origins) => {
          const flagged = origins.filter(({shouldAppend}) => shouldAppend);
          this.appenders.get(to)!.add(flagged);
        },
      });
    });
  }

  /** Begins streams at each entry, alternately at two versions. */
  async serve(): Promise<Map<string, string>> {
    const versions = new Map<string, string>();
    for (let ms = 0; ms < SECONDS * 1_000; ms += STEP_MS) {
      for (const replicator of this.replicators) {
        const requestId = `s${this.begun++}`;
        const version = this.begun % 3 === 0 ? 'v2' : 'v1';
        versions.set(requestId, version);
        replicator.add({requestId, service: SERVICE, version});
      }
      await clock.advance(STEP_MS);
    }
    return versions;
  }
}

function createReader(): StoredOrigins {
  return new StoredOrigins({
    clock,
    logger: new MemoryLogger(),
    metrics: new Metrics(),
    store,
    memoryMs: DEFAULT_OPTIONS.streamMemoryMs,
  });
}

describe.each([1, 5, 16, 17, 730])('%i entries that end at once', count => {
  // Guards against streams that are all refused after the entries are back, and
  // against a fleet that takes too many of the store's writes.
  it('leave the versions of most streams in the store', async () => {
    const versions = await new Fleet(count).serve();
    expect(versions.size).toBe(count * STREAMS_PER_SECOND * SECONDS);
    const reader = createReader();
    let found = 0;
    for (const [requestId, version] of versions) {
      const stored = await reader.find(requestId, SERVICE);
      if (stored.version === undefined) continue;
      found += 1;
      expect(stored.version).toBe(version);
    }
    expect(found / versions.size).toBeGreaterThan(0.5);
    expect(store.reads).toHaveLength(1);
    const writesPerSecond = store.appends / SECONDS;
    // Each writer appends its first batch at once.
    expect(writesPerSecond).toBeLessThanOrEqual(
      store.writesPerSecond / 5 + Math.ceil(count / 8) / SECONDS,
    );
  });
});
