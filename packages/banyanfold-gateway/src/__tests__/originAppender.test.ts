import {MemoryLogger, Metrics, VirtualClock} from '@banyanfold/core';
import {beforeEach, describe, expect, it} from 'vitest';
import {OriginAppender} from '../streams/originAppender.js';
import {decodeOriginBatch, originDigest} from '../streams/originBatch.js';
import {FakeOriginBatchStore} from './fakeOriginBatchStore.js';

const SECONDS = 20;

let clock: VirtualClock;
let store: FakeOriginBatchStore;
let logger: MemoryLogger;

beforeEach(() => {
  clock = new VirtualClock();
  store = new FakeOriginBatchStore();
  logger = new MemoryLogger();
});

function createAppender(writers = 1): OriginAppender {
  return new OriginAppender({
    clock,
    logger,
    metrics: new Metrics(),
    store,
    writerCount: () => writers,
  });
}

function origin(requestId: string) {
  return {requestId, service: 'drafting', version: 'v1'};
}

function storedIds(): string[] {
  return store.batches.flatMap(batch =>
    decodeOriginBatch(batch)!.origins.map(({requestId}) => requestId),
  );
}

describe('OriginAppender', () => {
  it('appends a record at once, and those of the next interval together', async () => {
    const appender = createAppender();
    appender.add([origin('s1')]);
    await clock.advance(1);
    expect(storedIds()).toEqual([originDigest('s1')]);
    for (let i = 0; i < 10; i++) appender.add([origin(`t${i}`)]);
    await clock.advance(1_000);
    expect(store.appends).toBe(2);
    expect(storedIds()).toHaveLength(11);
  });

  // Guards against a fleet that uses up the writes of the store.
  it.each([1, 5, 16, 96])(
    'takes a fifth of the writes at most, with %i writers',
    async writers => {
      const appenders = Array.from({length: writers}, () =>
        createAppender(writers),
      );
      for (let ms = 0; ms < SECONDS * 1_000; ms += 50) {
        for (const appender of appenders) appender.add([origin(`s${ms}`)]);
        await clock.advance(50);
      }
      const fifth = (store.writesPerSecond / 5) * SECONDS;
      // Each appends once at the start.
      expect(store.appends).toBeLessThanOrEqual(fifth + writers);
    },
  );

  it('appends nothing without records', async () => {
    createAppender();
    await clock.advance(SECONDS * 1_000);
    expect(store.appends).toBe(0);
  });

  // Guards against a store under pressure that gets each batch again and again.
  it('keeps records while the store takes none, and asks seldom', async () => {
    store.isDown = true;
    const appender = createAppender();
    for (let i = 0; i < 100; i++) {
      appender.add([origin(`s${i}`)]);
      await clock.advance(100);
    }
    expect(store.appends).toBeLessThanOrEqual(6);
    store.isDown = false;
    await clock.advance(2_000);
    expect(storedIds()).toHaveLength(100);
  });

  // Guards against records that fill the memory while the store is down.
  it('keeps a bounded number of records', async () => {
    store.isDown = true;
    const appender = createAppender();
    const many = Array.from({length: 20_000}, (_, i) => origin(`s${i}`));
    appender.add(many);
    await clock.advance(1);
    store.isDown = false;
    await clock.advance(5_000);
    expect(storedIds()).toHaveLength(5_000);
    expect(storedIds()).toContain(originDigest('s19999'));
  });

  // Guards against a batch that the store refuses each time, for its length.
  it('makes no batch longer than the store allows', async () => {
    const appender = createAppender();
    const service = 's'.repeat(190);
    appender.add(
      Array.from({length: 3_000}, (_, i) => ({
        requestId: `r${i}`,
        service,
        version: `${i}`.padEnd(190),
      })),
    );
    appender.add([{requestId: 'long', service, version: 'v'.repeat(10_000)}]);
    await clock.advance(10_000);
    expect(storedIds()).toHaveLength(3_000);
    const lengths = store.batches.map(({length}) => length);
    expect(Math.max(...lengths)).toBeLessThan(262_144);
  });

  // Guards against streams that are refused after the store came back from an
  // older copy.
  it('appends recent records again once the store has lost them', async () => {
    const appender = createAppender();
    appender.add([origin('old')]);
    await clock.advance(30_000);
    appender.add([origin('s1')]);
    await clock.advance(1_000);
    store.restore(0);
    await clock.advance(1_000);
    expect(storedIds()).toEqual([originDigest('s1')]);
  });
});
