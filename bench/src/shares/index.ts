import {
  FleetShares,
  OrganisationShare,
  type PoolBacklog,
  type ShareDemand,
  type ShareLimits,
} from '@banyanfold/decisions';
import {quantile} from '../common/quantiles.js';

const ORGANISATIONS = [16, 1_000, 10_000] as const;
const POOL = 'drafting/m1';
/** One organisation in this many asks for more than its share. */
const LARGE_EVERY = 4;
const SMALL_WORK = 1;
const LARGE_WORK = 12;
const EXCHANGE_MS = 250;
const EXCHANGES = 12;
const DECISIONS = 200_000;
const ROUNDS = 15;
const US_PER_MS = 1000;

/**
 * Processor time and bytes of fair shares by number of organisations, all of
 * which ask in each exchange. Read the ratios: they are of one run.
 */
export async function run(): Promise<void> {
  console.log(
    'organisations  us a decision  ms an update  ms a division  ' +
      'bytes of demand  bytes of limits',
  );
  for (const count of ORGANISATIONS) {
    const demand = demandOf(count);
    const {limits, divisionMs} = divide(demand);
    const columns = [
      count,
      decisionUs(limits, count).toFixed(2),
      updateMs(limits).toFixed(2),
      divisionMs.toFixed(2),
      JSON.stringify(demand).length,
      JSON.stringify(limits).length,
    ];
    console.log(columns.map(column => String(column).padStart(13)).join('  '));
  }
}

function demandOf(organisations: number): ShareDemand[] {
  return Array.from({length: organisations}, (_, i) => ({
    pool: POOL,
    organisation: nameOf(i),
    priority: 1,
    asked: i % LARGE_EVERY === 0 ? LARGE_WORK : SMALL_WORK,
    admitted: SMALL_WORK,
  }));
}

function nameOf(i: number): string {
  return `organisation-${i}`;
}

/** The division after some seconds with twice as much demand as capacity. */
function divide(demand: readonly ShareDemand[]): {
  limits: ShareLimits;
  divisionMs: number;
} {
  const shares = new FleetShares(0, () => 1);
  const asked = demand.reduce((sum, each) => sum + each.asked, 0);
  const completed = asked / 2;
  // What is completed in one second, read in twice the target.
  const work = (completed * 1_000) / EXCHANGE_MS;
  const backlog: PoolBacklog = {requests: work, work, workMs: work * 500};
  const progress = [{pool: POOL, completed, dropped: 0}];
  const tookMs: number[] = [];
  let limits: ShareLimits = {};
  for (let i = 0; i < EXCHANGES + ROUNDS; i++) {
    const nowMs = i * EXCHANGE_MS;
    shares.addDemand(demand, nowMs);
    shares.addProgress(progress, nowMs);
    const startedMs = performance.now();
    limits = shares.limits(() => ({[POOL]: backlog}), nowMs);
    if (i >= EXCHANGES) tookMs.push(performance.now() - startedMs);
  }
  return {limits, divisionMs: quantile(tookMs, 0.5)};
}

function decisionUs(limits: ShareLimits, organisations: number): number {
  const share = new OrganisationShare();
  share.update(limits, 0);
  const names = Array.from({length: organisations}, (_, i) => nameOf(i));
  const tookMs: number[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    const startedMs = performance.now();
    for (let i = 0; i < DECISIONS; i++) {
      const organisation = names[(i * 7) % organisations]!;
      const view = {pool: POOL, organisation, priority: 1, nowMs: 0};
      share.decide({...view, leftMs: 5_000, random: Math.random});
    }
    tookMs.push(performance.now() - startedMs);
  }
  return (quantile(tookMs, 0.5) * US_PER_MS) / DECISIONS;
}

/** Parsing an answer's limits and applying them, at an entry. */
function updateMs(limits: ShareLimits): number {
  const share = new OrganisationShare();
  const text = JSON.stringify(limits);
  const tookMs: number[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    const startedMs = performance.now();
    share.update(JSON.parse(text) as ShareLimits, 0);
    tookMs.push(performance.now() - startedMs);
  }
  return quantile(tookMs, 0.5);
}
