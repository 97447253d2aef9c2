import {BanyanfoldError, MemoryLogger, VirtualClock} from '@banyanfold/core';
import {err, ok} from 'neverthrow';
import {beforeEach, describe, expect, it} from 'vitest';
import {QUARANTINE_MS} from '../crashes/crashLedger.js';
import {CrashSuspects} from '../crashes/crashSuspects.js';
import {QuarantineKeeper} from '../crashes/quarantineKeeper.js';
import type {LeaseSource, QuarantineStore} from '../types.js';

let clock: VirtualClock;
let kept: Map<string, number>;
let isStoreLost: boolean;
let lease: {owns: boolean; term: number};
let calls: number;
let isHeard: boolean;

beforeEach(() => {
  clock = new VirtualClock();
  kept = new Map();
  isStoreLost = false;
  lease = {owns: true, term: 1};
  calls = 0;
  isHeard = true;
});

let reset: () => void;

const store: QuarantineStore = {
  onReset: listener => {
    reset = listener;
  },
  load: async () => {
    calls += 1;
    if (isStoreLost) {
      return err(
        new BanyanfoldError('no-answer', 'none', {
          step: 'quarantine',
          peer: 'store',
        }),
      );
    }
    return ok([...kept].map(([fingerprint, atMs]) => ({fingerprint, atMs})));
  },
  update: async (put, dropped) => {
    calls += 1;
    if (isStoreLost) {
      return err(
        new BanyanfoldError('no-answer', 'none', {
          step: 'quarantine',
          peer: 'store',
        }),
      );
    }
    for (const {fingerprint, atMs} of put) kept.set(fingerprint, atMs);
    for (const fingerprint of dropped) kept.delete(fingerprint);
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
    isHolderReachable: () => isHeard,
  });
  keeper.start();
  return {keeper, suspects};
}

describe('QuarantineKeeper', () => {
  it('loads at the start, and once for each time that it holds the lease', async () => {
    kept.set('a', clock.wallMs());
    lease.owns = false;
    const {keeper, suspects} = startKeeper();
    await clock.advance(2_000);
    expect(calls).toBe(1);
    expect(suspects.verdictOf('a')).toBe('quarantined');
    expect(suspects.pendingReport()?.quarantined).toEqual(['a']);
    lease.owns = true;
    await clock.advance(2_000);
    expect(calls).toBe(1);
    lease.term = 2;
    await clock.advance(2_000);
    expect(calls).toBe(2);
    keeper.stop();
  });

  // Guards against a request that is free again once the store has lost it.
  it('writes what it knows again when the store comes back older', async () => {
    const {keeper} = startKeeper();
    await clock.advance(1_000);
    keeper.add('a');
    await clock.advance(1_000);
    const written = new Map(kept);
    kept.clear();
    reset();
    await clock.advance(1_000);
    expect(kept).toEqual(written);
    const callsBefore = calls;
    lease.owns = false;
    kept.clear();
    reset();
    await clock.advance(1_000);
    expect(calls).toBe(callsBefore);
    keeper.stop();
  });

  it('reads for itself while no holder is heard, once runners have crashed', async () => {
    // An entry is cut off from all others, but not from the store nor from the
    // runners. What the others have found would reach it only when it is back, and
    // the request crashes runners from here meanwhile.
    lease.owns = false;
    const {keeper, suspects} = startKeeper();
    await clock.advance(10_000);
    expect(calls).toBe(1);
    isHeard = false;
    await clock.advance(10_000);
    expect(calls).toBe(1);
    suspects.noteCrash({crashId: 'r1@1', fingerprints: ['a']});
    kept.set('a', clock.wallMs());
    await clock.advance(2_500);
    expect(suspects.verdictOf('a')).toBe('quarantined');
    await clock.advance(20_000);
    expect(suspects.verdictOf('a')).toBe('quarantined');
    expect(calls).toBeLessThan(15);
    keeper.stop();
  });

  it('keeps a verdict when the store is back', async () => {
    // The verdict falls while the store is out; kept nowhere, it would be
    // forgotten with the process.
    const {keeper} = startKeeper();
    await clock.advance(1_000);
    isStoreLost = true;
    keeper.add('a');
    await clock.advance(3_000);
    expect(kept.size).toBe(0);
    isStoreLost = false;
    await clock.advance(1_000);
    expect([...kept.keys()]).toEqual(['a']);
    keeper.stop();
  });

  it('drops what is out of date, and the oldest of too many', async () => {
    kept.set('old', clock.wallMs() - QUARANTINE_MS - 1);
    for (let i = 0; i < 500; i++) kept.set(`f${i}`, clock.wallMs() - 500 + i);
    const {keeper, suspects} = startKeeper();
    await clock.advance(1_000);
    expect(suspects.verdictOf('old')).toBeUndefined();
    expect(suspects.verdictOf('f1')).toBe('quarantined');
    keeper.add('new');
    await clock.advance(1_000);
    expect(kept.size).toBe(500);
    expect(kept.has('old')).toBe(false);
    expect(kept.has('f0')).toBe(false);
    expect(kept.has('new')).toBe(true);
    keeper.stop();
  });
});
