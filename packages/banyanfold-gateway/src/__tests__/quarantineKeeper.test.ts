import {BanyanfoldError, MemoryLogger, VirtualClock} from '@banyanfold/core';
import {err, ok} from 'neverthrow';
import {beforeEach, describe, expect, it, vi} from 'vitest';
import {QUARANTINE_MS} from '../crashes/crashLedger.js';
import {CrashSuspects} from '../crashes/crashSuspects.js';
import {QuarantineKeeper} from '../crashes/quarantineKeeper.js';
import type {LeaseSource, QuarantineStore} from '../types.js';

let clock: VirtualClock;
let stored: Map<string, number>;
let isStoreDown: boolean;
let lease: {owns: boolean; term: number};
let calls: number;
let isHolderReachable: boolean;

beforeEach(() => {
  clock = new VirtualClock();
  stored = new Map();
  isStoreDown = false;
  lease = {owns: true, term: 1};
  calls = 0;
  isHolderReachable = true;
});

let reset: () => void;

const store: QuarantineStore = {
  onReset: listener => {
    reset = listener;
  },
  load: async () => {
    calls += 1;
    if (isStoreDown) {
      return err(
        new BanyanfoldError('no-answer', 'none', {
          step: 'quarantine',
          peer: 'store',
        }),
      );
    }
    return ok([...stored].map(([fingerprint, atMs]) => ({fingerprint, atMs})));
  },
  update: async (put, dropped) => {
    calls += 1;
    if (isStoreDown) {
      return err(
        new BanyanfoldError('no-answer', 'none', {
          step: 'quarantine',
          peer: 'store',
        }),
      );
    }
    for (const {fingerprint, atMs} of put) stored.set(fingerprint, atMs);
    for (const fingerprint of dropped) stored.delete(fingerprint);
    return ok();
  },
};

function startKeeper() {
  const logger = new MemoryLogger();
  const suspects = new CrashSuspects(clock);
  const keeper = new QuarantineKeeper({
    clock,
    logger,
    store,
    lease: {current: () => lease} as unknown as LeaseSource,
    suspects,
    isHolderReachable: () => isHolderReachable,
  });
  keeper.start();
  return {keeper, suspects};
}

describe('QuarantineKeeper', () => {
  // Guards against refusing a request for years, and against dropping all other
  // records, which are older, because of a time that another writer wrote.
  it('ignores a record whose time has not come', async () => {
    stored.set('sound', clock.wallMs());
    stored.set('jumped', clock.wallMs() + 60_000);
    stored.set('odd', clock.wallMs() + 10 * QUARANTINE_MS);
    const {keeper, suspects} = startKeeper();
    await clock.advance(1_000);
    const isQuarantined = (id: string) =>
      suspects.verdictOf([id]) === 'quarantined';
    expect(['sound', 'jumped', 'odd'].map(isQuarantined)).toEqual([
      true,
      true,
      false,
    ]);
    keeper.stop();
  });

  it('loads at the start, and once for each term of the lease', async () => {
    stored.set('a', clock.wallMs());
    lease.owns = false;
    const {keeper, suspects} = startKeeper();
    await clock.advance(2_000);
    expect(calls).toBe(1);
    expect(suspects.verdictOf(['a'])).toBe('quarantined');
    expect(suspects.pendingReport()?.quarantined).toEqual(['a']);
    lease.owns = true;
    await clock.advance(2_000);
    expect(calls).toBe(1);
    lease.term = 2;
    await clock.advance(2_000);
    expect(calls).toBe(2);
    keeper.stop();
  });

  // Guards against a quarantine that ends early after a restart of everything.
  it('writes a newer time that was set during a write', async () => {
    const {keeper} = startKeeper();
    await clock.advance(1_000);
    let finishWrite = () => {};
    vi.spyOn(store, 'update').mockImplementationOnce(async () => {
      await new Promise<void>(resolve => (finishWrite = resolve));
      return ok();
    });
    keeper.add('a');
    await clock.advance(1_000);
    const newerMs = clock.wallMs();
    keeper.add('a');
    finishWrite();
    await clock.advance(1_000);
    expect(stored.get('a')).toBe(newerMs);
    keeper.stop();
    vi.restoreAllMocks();
  });

  // Otherwise a request would run again after the store has lost its record.
  it('rewrites its records after the store lost recent writes', async () => {
    const {keeper} = startKeeper();
    await clock.advance(1_000);
    keeper.add('a');
    await clock.advance(1_000);
    const written = new Map(stored);
    stored.clear();
    reset();
    await clock.advance(1_000);
    expect(stored).toEqual(written);
    const callsBefore = calls;
    lease.owns = false;
    stored.clear();
    reset();
    await clock.advance(1_000);
    expect(calls).toBe(callsBefore);
    keeper.stop();
  });

  it('reads the store without a reachable holder once runners have crashed', async () => {
    // An entry loses its peers, but still reaches the store and the runners.
    // Without reading the store it would keep sending a request that the others
    // have quarantined.
    lease.owns = false;
    const {keeper, suspects} = startKeeper();
    await clock.advance(10_000);
    expect(calls).toBe(1);
    isHolderReachable = false;
    await clock.advance(10_000);
    expect(calls).toBe(1);
    suspects.noteCrash({crashId: 'r1@1', fingerprints: ['a']});
    stored.set('a', clock.wallMs());
    await clock.advance(2_500);
    expect(suspects.verdictOf(['a'])).toBe('quarantined');
    await clock.advance(20_000);
    expect(suspects.verdictOf(['a'])).toBe('quarantined');
    expect(calls).toBeLessThan(15);
    keeper.stop();
  });

  it('writes a record once the store is available again', async () => {
    // A request is quarantined while the store is unavailable. Without a later
    // write the quarantine would be lost when the process ends.
    const {keeper} = startKeeper();
    await clock.advance(1_000);
    isStoreDown = true;
    keeper.add('a');
    await clock.advance(3_000);
    expect(stored.size).toBe(0);
    isStoreDown = false;
    await clock.advance(1_000);
    expect([...stored.keys()]).toEqual(['a']);
    keeper.stop();
  });

  it('drops expired records, and the oldest above the maximum', async () => {
    stored.set('old', clock.wallMs() - QUARANTINE_MS - 1);
    for (let i = 0; i < 500; i++) stored.set(`f${i}`, clock.wallMs() - 500 + i);
    const {keeper, suspects} = startKeeper();
    await clock.advance(1_000);
    expect(suspects.verdictOf(['old'])).toBeUndefined();
    expect(suspects.verdictOf(['f1'])).toBe('quarantined');
    keeper.add('new');
    await clock.advance(1_000);
    expect(stored.size).toBe(500);
    expect(stored.has('old')).toBe(false);
    expect(stored.has('f0')).toBe(false);
    expect(stored.has('new')).toBe(true);
    keeper.stop();
  });

  it('removes what was released from the store', async () => {
    const {keeper} = startKeeper();
    await clock.advance(1_000);
    keeper.add('a');
    keeper.add('b');
    await clock.advance(1_000);
    isStoreDown = true;
    keeper.remove('a');
    await clock.advance(1_000);
    isStoreDown = false;
    await clock.advance(1_000);
    expect([...stored.keys()]).toEqual(['b']);
    keeper.stop();
  });
});
