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

function startKeeper(isFirstStart: boolean, isCapKnown = () => true) {
  const accounts = new UsageAccounts({
    clock,
    windowMs: WINDOW_MS,
    isFirstStart,
    random: () => 0.5,
    usageCapOf: () => (isCapKnown() ? CAP : undefined),
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

  // Guards against a cap that is granted again by each process that starts while
  // the settings still name the first start.
  it('restores the stored usage although the settings name a first start', async () => {
    near = {claims: SPENT};
    const before = startKeeper(true);
    await clock.advance(1_000);
    before.keeper.stop();
    const {accounts} = startKeeper(true);
    await clock.advance(10);
    expect(accounts.decide(CLAIMS, CAP, 9_000).kind).toBe('refuse');
  });

  // Guards against a new holder that frees the use of a surge before it has
  // left the window, or forgets it because it read the caps after the usage.
  it.each([
    ['known caps', 0],
    ['caps that are known later', 100],
  ])('restores when a surge was used, with %s', async (_what, capsKnownMs) => {
    const usedByAge = [0, 90_000, 0, 0, 0, 0, 0, 0];
    const surge = {left: 10_000, freedPerSecond: 0, askedPerSecond: 40_000};
    record = {
      atMs: clock.wallMs(),
      organisations: {claims: {...surge, usedByAge}},
    };
    await clock.advance(500);
    const startedMs = clock.nowMs();
    const {accounts} = startKeeper(
      false,
      () => clock.nowMs() >= startedMs + capsKnownMs,
    );
    await clock.advance(4_000);
    const known = accounts.knownUse().get('claims');
    // Also all that was left, which may have been used before the next record.
    expect(known?.sum(clock.nowMs())).toBe(100_000);
  });

  it('stores when the usage near a limit was used', async () => {
    const {accounts} = startKeeper(true);
    await clock.advance(1_000);
    const snapshot = {left: 10_000, freedPerSecond: 0, askedPerSecond: 0};
    accounts.applyFleetUsage({claims: snapshot}, 0, false);
    await clock.advance(2_000);
    const limit = accounts.limitOf(CAP);
    expect(accounts.nearLimit({claims: snapshot}, () => limit)).toEqual({
      claims: {...snapshot, usedByAge: [0, 0, 90_000, 0, 0, 0, 0, 0]},
    });
  });

  it('ignores a stored record that is older than the window', async () => {
    record = {atMs: clock.wallMs(), organisations: {claims: SPENT}};
    await clock.advance(60_000);
    const {accounts} = startKeeper(false);
    await clock.advance(10);
    expect(accounts.decide(CLAIMS, CAP, 9_000).kind).toBe('admit');
  });
});
