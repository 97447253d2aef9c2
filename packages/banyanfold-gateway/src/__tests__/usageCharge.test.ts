import {MemoryLogger, Metrics, VirtualClock} from '@banyanfold/core';
import {beforeEach, describe, expect, it} from 'vitest';
import {UsageAccounts} from '../callers/usageAccounts.js';
import type {GatewayContext} from '../context.js';
import type {RequestLog} from '../requests/requestLog.js';
import {UsageCharge} from '../requests/usageCharge.js';
import type {Organisation} from '../types.js';

const CAP = {
  unit: 'tokens',
  ratePerSecond: 10_000,
  burst: 20_000,
  plainTokens: 0,
} as const;
const DESK: Organisation = {name: 'desk', keyDigests: [], usageCap: CAP};
const FREEZE_MS = 4_000;
const REQUESTS = 20;
/** A tenth of the cap. */
const SNAPSHOT = {left: 90_000, freedPerSecond: 1_000, askedPerSecond: 1_000};

let clock: VirtualClock;
let usage: UsageAccounts;

beforeEach(() => {
  clock = new VirtualClock();
  usage = new UsageAccounts({
    clock,
    windowMs: 8_000,
    isFirstStart: false,
    random: () => 0.999,
    usageCapOf: () => CAP,
  });
  usage.applyFleetUsage({desk: SNAPSHOT}, 0, false);
});

/** Charges a request; resolves to whether the cap admits it. */
async function isAdmitted(): Promise<boolean> {
  const context = {clock, usage, metrics: new Metrics()};
  const charge = new UsageCharge({
    context: {
      ...context,
      logger: new MemoryLogger(),
    } as unknown as GatewayContext,
    request: {promptTokens: 1_000, maxOutputTokens: 0, promptParts: []},
    organisation: DESK,
    log: {refuseOverCap: () => {}} as unknown as RequestLog,
  });
  return (await charge.charge()) === undefined;
}

describe('UsageCharge', () => {
  // Guards against judging callers below the cap by what was known before.
  it('admits the requests that arrived while its process was frozen', async () => {
    await clock.advance(FREEZE_MS);
    const admitted = Array.from({length: REQUESTS}, isAdmitted);
    await clock.advance(20);
    usage.applyFleetUsage({desk: SNAPSHOT}, 0, false);
    expect(await Promise.all(admitted)).not.toContain(false);
  });

  // Guards against a freeze that lets an organisation pass its cap.
  it('refuses them by what the holder tells afterwards', async () => {
    await clock.advance(FREEZE_MS);
    const admitted = Array.from({length: REQUESTS}, isAdmitted);
    await clock.advance(20);
    usage.applyFleetUsage({desk: {...SNAPSHOT, left: -500}}, 0, false);
    expect(await Promise.all(admitted)).not.toContain(true);
  });

  // Guards against callers that are held while no holder answers.
  it('waits for a silent holder once', async () => {
    await clock.advance(FREEZE_MS);
    let decided = 0;
    void isAdmitted().then(() => (decided += 1));
    await clock.advance(100);
    expect(decided).toBe(0);
    await clock.advance(100);
    expect(decided).toBe(1);
    void isAdmitted().then(() => (decided += 1));
    await clock.advance(0);
    expect(decided).toBe(2);
  });

  // Guards against refusing callers because of a rise that is over at once.
  it('waits for the next updates while the demand seems to rise', async () => {
    await isAdmitted();
    const updates = [5_000, 40_000];
    for (const askedPerSecond of updates) {
      await clock.advance(250);
      usage.applyFleetUsage({desk: {...SNAPSHOT, askedPerSecond}}, 0, false);
    }
    const admitted = isAdmitted();
    let isDecided = false;
    void admitted.then(() => (isDecided = true));
    await clock.advance(200);
    expect(isDecided).toBe(false);
    const next = {...SNAPSHOT, askedPerSecond: 24_000};
    usage.applyFleetUsage({desk: next}, 0, false);
    expect(await admitted).toBe(true);
  });

  // Guards against a request that waits without end.
  it('refuses a request after two updates if the demand goes on to rise', async () => {
    await isAdmitted();
    let askedPerSecond = 5_000;
    const update = () => {
      askedPerSecond *= 2;
      usage.applyFleetUsage({desk: {...SNAPSHOT, askedPerSecond}}, 0, false);
    };
    update();
    await clock.advance(250);
    update();
    await clock.advance(250);
    update();
    const admitted = isAdmitted();
    for (let i = 0; i < 2; i++) {
      await clock.advance(250);
      update();
    }
    expect(await admitted).toBe(false);
  });

  // Guards against one organisation's surge refusing the callers of another.
  it('decides on an organisation whatever another one asks for', async () => {
    const surge = {left: -900_000, freedPerSecond: 0, askedPerSecond: 2e6};
    const both = {desk: SNAPSHOT, claims: surge};
    usage.applyFleetUsage(both, 0, false);
    const claims = {...DESK, name: 'claims'};
    for (let i = 0; i < 500; i++) usage.decide(claims, CAP, 40_000);
    await clock.advance(250);
    usage.takeReports();
    usage.applyFleetUsage(both, 0, false);
    expect(usage.decide(claims, CAP, 200).kind).toBe('refuse');
    const admitted = Array.from({length: REQUESTS}, isAdmitted);
    expect(await Promise.all(admitted)).not.toContain(false);
  });
});
