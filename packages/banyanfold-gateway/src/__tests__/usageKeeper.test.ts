import {MemoryLogger, VirtualClock} from '@banyanfold/core';
import {ok} from 'neverthrow';
import {beforeEach, describe, expect, it} from 'vitest';
import {UsageAccounts} from '../callers/usageAccounts.js';
import {UsageKeeper} from '../callers/usageKeeper.js';
import type {LeaseSource, Organisation, UsageRecord} from '../types.js';

const CAP = {
  unit: 'tokens',
  ratePerSecond: 10_000,
  burst: 20_000,
  plainTokens: 0,
} as const;
/** The cap allows 100,000 tokens in this window. */
const WINDOW_MS = 8_000;
const CLAIMS: Organisation = {name: 'claims', keyDigests: [], usageCap: CAP};
const SPENT = {left: -5_000, freedPerSecond: 0, askedPerSecond: 40_000};

let clock: VirtualClock;
let record: UsageRecord | undefined;
let saves: number;
let near: Record<string, typeof SPENT>;

beforeEach(() => {
  clock = new VirtualClock();
  record = undefined;
  saves = 0;
  near = {};
});

function startKeeper(isFirstStart: boolean) {
  const accounts = new UsageAccounts({
    clock,
    windowMs: WINDOW_MS,
    isFirstStart,
    random: () => 0.5,
    usageCapOf: () => CAP,
  });
  const keeper = new UsageKeeper({
    clock,
    logger: new MemoryLogger(),
    store: {
      load: async () => ok(record),
      save: async saved => {
        saves += 1;
        record = saved;
        return ok(undefined);
      },
    },
    lease: {current: () => ({owns: true})} as unknown as LeaseSource,
    accounts,
    isFirstStart,
    nearLimit: () => near,
  });
  keeper.start();
  return {keeper, accounts};
}

describe('UsageKeeper', () => {
  it('writes only while an organisation is near its limit, and once more', async () => {
    const {keeper} = startKeeper(true);
    await clock.advance(5_000);
    expect(saves).toBe(0);
    near = {claims: SPENT};
    await clock.advance(3_000);
    expect(saves).toBe(3);
    near = {};
    await clock.advance(5_000);
    expect(saves).toBe(4);
    expect(record?.organisations).toEqual({});
    keeper.stop();
  });

  // Guards against a restart of all processes that resets the usage of a cap.
  it('restores the stored usage after all processes have ended', async () => {
    near = {claims: SPENT};
    const before = startKeeper(true);
    await clock.advance(1_000);
    before.keeper.stop();
    const {accounts} = startKeeper(false);
    await clock.advance(10);
    expect(accounts.decide(CLAIMS, CAP, 9_000).kind).toBe('refuse');
    const other = {...CLAIMS, name: 'desk'};
    expect(accounts.decide(other, CAP, 9_000).kind).toBe('admit');
  });

  it('ignores a stored record that is older than the window', async () => {
    record = {atMs: clock.wallMs(), organisations: {claims: SPENT}};
    await clock.advance(60_000);
    const {accounts} = startKeeper(false);
    await clock.advance(10);
    expect(accounts.decide(CLAIMS, CAP, 9_000).kind).toBe('admit');
  });
});
