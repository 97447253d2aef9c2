import {MemoryLogger, Metrics, VirtualClock} from '@banyanfold/core';
import {beforeEach, describe, expect, it} from 'vitest';
import {encodeOriginBatch} from '../streams/originBatch.js';
import {StoredOrigins} from '../streams/storedOrigins.js';
import {FakeOriginBatchStore} from './fakeOriginBatchStore.js';

const SERVICE = 'drafting';
const MEMORY_MS = 60_000;
/** The holder has noted the versions of a service by then. */
const UNNOTED_MS = 20_000;
const INTERVAL_MS = 2_000;

let clock: VirtualClock;
let store: FakeOriginBatchStore;
let stored: StoredOrigins;

beforeEach(() => {
  clock = new VirtualClock();
  store = new FakeOriginBatchStore();
  stored = new StoredOrigins({
    clock,
    logger: new MemoryLogger(),
    metrics: new Metrics(),
    store,
    memoryMs: MEMORY_MS,
  });
});

function put(requestId: string, version: string): void {
  const origins = [{requestId, service: SERVICE, version}];
  store.batches.push(encodeOriginBatch({atMs: clock.wallMs(), origins}));
}

describe('StoredOrigins', () => {
  it('finds the version of a stream, with one read for all', async () => {
    put('s1', 'v1');
    put('s2', 'v2');
    const found = await Promise.all([
      stored.find('s1', SERVICE),
      stored.find('s2', SERVICE),
    ]);
    expect(found).toEqual([
      {version: 'v1', isMixed: true, isCurrent: true},
      {version: 'v2', isMixed: true, isCurrent: true},
    ]);
    expect(store.reads).toHaveLength(1);
  });

  // Guards against a caller with odd ids that has the store read all the time.
  it('reads only what is new, and not more often than its interval', async () => {
    put('s1', 'v1');
    for (let i = 0; i < 20; i++) {
      await stored.find(`never-seen-${i}`, SERVICE);
      await clock.advance(INTERVAL_MS / 10);
    }
    expect(store.reads).toEqual([0, 1]);
    put('s2', 'v2');
    await clock.advance(INTERVAL_MS);
    expect((await stored.find('s2', SERVICE)).version).toBe('v2');
  });

  // Guards against a guess where all entries ended before the holder noted that
  // a service has several versions.
  it('tells that a service had several versions lately', async () => {
    put('s1', 'v1');
    expect((await stored.find('s2', SERVICE)).isMixed).toBe(true);
    expect((await stored.find(undefined, SERVICE)).isMixed).toBe(true);
    expect((await stored.find('s2', 'other')).isMixed).toBe(false);
  });

  // Guards against streams that are refused long after a release has ended.
  it('goes by the note of versions alone after some time', async () => {
    put('s1', 'v1');
    await clock.advance(UNNOTED_MS);
    expect((await stored.find('s2', SERVICE)).isMixed).toBe(false);
  });

  // Guards against an odd batch of another writer that has streams refused for good.
  it('passes over a time that can not be', async () => {
    const origins = [{requestId: 's1', service: SERVICE, version: 'v1'}];
    store.batches.push(encodeOriginBatch({atMs: 1e300, origins}));
    expect((await stored.find('s2', SERVICE)).isMixed).toBe(false);
  });

  it('reads seldom where nothing was ever appended', async () => {
    for (let i = 0; i < 20; i++) {
      await stored.find(`s${i}`, SERVICE);
      await clock.advance(1_000);
    }
    expect(store.reads).toHaveLength(2);
  });

  it('drops records that are past the time of a stream', async () => {
    put('s1', 'v1');
    await stored.find('s1', SERVICE);
    await clock.advance(MEMORY_MS + 1);
    store.batches = [];
    expect((await stored.find('s1', SERVICE)).version).toBeUndefined();
  });

  // Guards against streams that wait for a store that doesn't answer.
  it('gives up on a silent store', async () => {
    store.isSilent = true;
    const found = stored.find('s1', SERVICE);
    await clock.advance(400);
    expect(await found).toEqual({
      version: undefined,
      isMixed: false,
      isCurrent: false,
    });
  });

  it('tells that the store could not be read, and asks it again', async () => {
    put('s1', 'v1');
    store.isDown = true;
    expect((await stored.find('s1', SERVICE)).isCurrent).toBe(false);
    store.isDown = false;
    await clock.advance(INTERVAL_MS);
    expect((await stored.find('s1', SERVICE)).version).toBe('v1');
  });

  // Guards against records that are passed over, as a store that came back from
  // an older copy gives out their offsets again.
  it('reads all again after the store has come back from an older copy', async () => {
    put('s1', 'v1');
    put('s2', 'v1');
    await stored.find('s1', SERVICE);
    store.restore(0);
    put('s3', 'v2');
    await clock.advance(INTERVAL_MS);
    expect((await stored.find('s3', SERVICE)).version).toBe('v2');
  });

  // Guards against the same where the answer to the read is the first of the new
  // store.
  it('reads all again after a read that brought the news of that', async () => {
    put('s1', 'v1');
    await stored.find('s1', SERVICE);
    await clock.advance(INTERVAL_MS);
    store.onRead = () => {
      store.restore(0);
      put('s2', 'v2');
    };
    await stored.find('s3', SERVICE);
    await clock.advance(INTERVAL_MS);
    expect((await stored.find('s2', SERVICE)).version).toBe('v2');
  });

  // Guards against an entry that ends, or refuses all, by another writer's bytes.
  it('ignores what another writer left', async () => {
    store.batches.push(Buffer.from('{"odd":'), Buffer.alloc(0));
    put('s1', 'v1');
    expect((await stored.find('s1', SERVICE)).version).toBe('v1');
  });
});
