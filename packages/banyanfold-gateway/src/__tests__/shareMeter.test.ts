import {FleetShares} from '@banyanfold/decisions';
import {describe, expect, it} from 'vitest';
import {ShareMeter} from '../callers/shareMeter.js';

const POOL = 'drafting/m1';
const STEP_MS = 50;
const EXCHANGE_MS = 250;
const PARTITION_FROM_MS = 10_000;
const AFTERWARDS_MS = 15_000;
/** Work per second at each of two entries; the share of `claims` is 75 there. */
const ASKED = {claims: 120, desk: 15};
const COMPLETED = 90;

function addWork(meter: ShareMeter, seconds: number): void {
  for (const [organisation, perSecond] of Object.entries(ASKED)) {
    const asked = perSecond * seconds;
    const demand = {pool: POOL, organisation, priority: 1};
    meter.addDemand({...demand, asked, admitted: asked});
  }
  const completed = COMPLETED * seconds;
  meter.addProgress({pool: POOL, completed, dropped: 0});
}

/** Divides a pool while one of its two entries is partitioned for some time. */
function simulatePartition(partitionMs: number) {
  const shares = new FleetShares(0, () => 1);
  const meters = [new ShareMeter(), new ShareMeter()];
  const healsMs = PARTITION_FROM_MS + partitionMs;
  const endings: number[] = [];
  const limited = new Set<string>();
  let isContended = false;
  for (let nowMs = 0; nowMs <= healsMs + AFTERWARDS_MS; nowMs += STEP_MS) {
    for (const meter of meters) addWork(meter, STEP_MS / 1_000);
    if (nowMs % EXCHANGE_MS !== 0) continue;
    const isSilent = nowMs > PARTITION_FROM_MS && nowMs < healsMs;
    for (const meter of isSilent ? meters.slice(1) : meters) {
      const report = meter.take(nowMs);
      shares.addDemand(report.demandByOrganisation, nowMs);
      shares.addProgress(report.poolProgress, nowMs);
    }
    const work = isSilent ? 200 : 400;
    const backlogs = {[POOL]: {requests: work, work, workMs: work * 1_000}};
    const limits = shares.limits(() => backlogs, nowMs);
    for (const name of Object.keys(limits[POOL] ?? {})) limited.add(name);
    const wasContended = isContended;
    ({isContended} = shares.states()[0]!);
    if (wasContended && !isContended) endings.push(nowMs);
  }
  return {endings, limited: [...limited]};
}

describe('ShareMeter', () => {
  // Guards against work of a partition that counts as work of one instant: the
  // completed rate would rise, and its fall would end the division.
  it.each([0, 1_000, 3_000, 10_000, 60_000])(
    'keeps a pool divided after a partition of %s ms',
    partitionMs => {
      expect(simulatePartition(partitionMs)).toEqual({
        endings: [],
        limited: ['claims'],
      });
    },
  );

  it('reports everything if it reports in time', () => {
    const meter = new ShareMeter();
    meter.addProgress({pool: POOL, completed: 2, dropped: 0});
    expect(meter.take(1_000).poolProgress[0]!.completed).toBe(2);
    meter.addProgress({pool: POOL, completed: 3, dropped: 1});
    const progress = {pool: POOL, completed: 3, dropped: 1};
    expect(meter.take(1_500).poolProgress).toEqual([progress]);
    expect(meter.take(9_000).poolProgress).toEqual([]);
  });
});
