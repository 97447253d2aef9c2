import type {DeploymentSpec, WorkKind} from './deployments.js';

const SECOND_MS = 1_000;
/** All scenarios last this long on the virtual clock. */
export const DURATION_MS = 360 * SECOND_MS;
/** Faults and shifts begin here. */
export const EVENT_MS = 90 * SECOND_MS;
/** The burst over an hour is compressed into this; loads are not. */
const LONG_BURST_MS = 240 * SECOND_MS;
const SHORT_BURST_RAMP_MS = 10 * SECOND_MS;
const SHORT_BURST_MS = 60 * SECOND_MS;
const TENFOLD = 10;

export type Loss = 'none' | 'server' | 'domain';

export interface Faults {
  /** What is lost at `EVENT_MS`. */
  lose: Loss;
  /** When a replacement VM with empty memory stands in for a lost one. */
  replacedAfterMs: number;
  reportLagMs: number;
  reportLossShare: number;
  orderLossShare: number;
  orderLateMs: number;
  storeSlowdown: number;
  logOut: boolean;
  rollout: boolean;
}

export interface Scenario {
  name: string;
  faults: Faults;
  /** Factor on the base rate of a kind. */
  rateFactor(kind: WorkKind, atMs: number): number;
  /** Whether popularity of models is turned around from `EVENT_MS` on. */
  shiftsPopularity: boolean;
  note: string;
}

type RunnerSpec = DeploymentSpec['runners'][number];

/** Which runners a loss takes. */
const LOST: Record<Loss, (runner: RunnerSpec, index: number) => boolean> = {
  none: () => false,
  server: (_runner, index) => index === 0,
  domain: runner => runner.failureDomain === 'd0',
};

export function lostRunners(
  deployment: DeploymentSpec,
  loss: Loss,
): RunnerSpec[] {
  return deployment.runners.filter(LOST[loss]);
}

const NO_FAULTS: Faults = {
  lose: 'none',
  replacedAfterMs: 150 * SECOND_MS,
  reportLagMs: 100,
  reportLossShare: 0,
  orderLossShare: 0,
  orderLateMs: 0,
  storeSlowdown: 1,
  logOut: false,
  rollout: false,
};

const STEADY_FACTOR = 2.5;
const steady = (): number => STEADY_FACTOR;

/** Tenfold at the middle, rising and falling evenly. */
function longBurst(_kind: WorkKind, atMs: number): number {
  const middleMs = EVENT_MS / 2 + LONG_BURST_MS / 2;
  const distance = Math.abs(atMs - middleMs) / (LONG_BURST_MS / 2);
  return 1 + (TENFOLD - 1) * Math.max(0, 1 - distance);
}

function shortBurst(kind: WorkKind, atMs: number): number {
  if (kind === 'drafting') return 1;
  const sinceMs = atMs - EVENT_MS;
  if (sinceMs < 0 || sinceMs > SHORT_BURST_MS) return 1;
  return 1 + (TENFOLD - 1) * Math.min(1, sinceMs / SHORT_BURST_RAMP_MS);
}

/** The desk's load falls, drafting's rises far over its own runners'. */
function mixShift(kind: WorkKind, atMs: number): number {
  if (atMs < EVENT_MS) return STEADY_FACTOR;
  return kind === 'desk' ? STEADY_FACTOR / 2 : STEADY_FACTOR * 4;
}

function scenario(
  name: string,
  faults: Partial<Faults> = {},
  rest: Partial<Scenario> = {},
): Scenario {
  return {
    name,
    faults: {...NO_FAULTS, ...faults},
    rateFactor: steady,
    shiftsPopularity: false,
    note: '',
    ...rest,
  };
}

export const SCENARIOS: Scenario[] = [
  scenario('steady'),
  scenario(
    'burst-hour',
    {},
    {
      rateFactor: longBurst,
      note: 'the hour is compressed 15 to 1; loads take their real time',
    },
  ),
  scenario('burst-minute', {}, {rateFactor: shortBurst}),
  scenario('mix-shift', {}, {rateFactor: mixShift, shiftsPopularity: true}),
  scenario('server-lost', {lose: 'server'}),
  scenario('domain-lost', {lose: 'domain'}),
  scenario(
    'reports-late',
    {reportLagMs: 2_000, reportLossShare: 0.3},
    {rateFactor: longBurst},
  ),
  scenario(
    'orders-late',
    {orderLossShare: 0.3, orderLateMs: 10_000, lose: 'server'},
    {shiftsPopularity: true},
  ),
  scenario(
    'store-slow',
    {storeSlowdown: 4, lose: 'server'},
    {shiftsPopularity: true},
  ),
  scenario('log-out', {logOut: true}, {shiftsPopularity: true}),
  scenario(
    'rollout',
    {rollout: true},
    {
      note: 'an answer of an old version 200 s after publishing is a miss',
    },
  ),
];
