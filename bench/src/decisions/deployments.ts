/** Requests of desks wait at a counter; drafts are written in the background. */
export type WorkKind = 'desk' | 'drafting';

export interface ModelSpec {
  name: string;
  kind: WorkKind;
  bytes: number;
  adapters: string[];
}

export interface DeploymentSpec {
  name: string;
  runners: Array<{vmId: string; role: WorkKind; failureDomain: string}>;
  models: ModelSpec[];
  adapterBytes: number;
  entries: number;
  oneWayMs: number;
  loadsPerSecond: number;
  loadsAtOnce: number;
  attainmentWeight: number;
  moveWeight: number;
  /** Requests a second of the steady scenario. */
  baseRates: Record<WorkKind, number>;
}

export const GB = 1e9;
/** Weights that one accelerator holds beside its KV cache. */
export const WEIGHT_MEMORY_BYTES = 64 * GB;
export const KV_MEMORY_BYTES = 16 * GB;
export const KV_BYTES_PER_TOKEN = 131_072;
export const MAX_RUNNING = 16;
export const MAX_QUEUED = 64;

/** First-token and whole-answer targets, and the class, of each kind. */
export const TARGETS: Record<
  WorkKind,
  {firstTokenMs: number; wholeMs: number; priority: number}
> = {
  desk: {firstTokenMs: 310, wholeMs: 30_000, priority: 0},
  drafting: {firstTokenMs: 2_000, wholeMs: 60_000, priority: 5},
};

interface Sizes {
  drafting: number;
  desk: number;
  domains: number;
  adapters: number;
  modelGb: Record<WorkKind, number[]>;
}

function build(
  name: string,
  sizes: Sizes,
  rest: Omit<DeploymentSpec, 'name' | 'runners' | 'models'>,
): DeploymentSpec {
  const runners = [
    ...makeRunners('drafting', sizes.drafting, 0, sizes.domains),
    ...makeRunners('desk', sizes.desk, sizes.drafting, sizes.domains),
  ];
  const models = [
    ...makeModels('desk', sizes.modelGb.desk),
    ...makeModels('drafting', sizes.modelGb.drafting),
  ];
  for (let index = 0; index < sizes.adapters; index++) {
    models[index % models.length]!.adapters.push(`a${index}`);
  }
  return {name, runners, models, ...rest};
}

function makeRunners(
  role: WorkKind,
  count: number,
  offset: number,
  domains: number,
) {
  return Array.from({length: count}, (_, index) => ({
    vmId: `r${String(offset + index).padStart(2, '0')}`,
    role,
    failureDomain: `d${(offset + index) % domains}`,
  }));
}

function makeModels(kind: WorkKind, sizesGb: number[]): ModelSpec[] {
  return sizesGb.map((sizeGb, index) => ({
    name: `${kind}${index}`,
    kind,
    bytes: sizeGb * GB,
    adapters: [],
  }));
}

function repeat(sizeGb: number, count: number): number[] {
  return Array.from({length: count}, () => sizeGb);
}

/** Both deployments at the sizes of the users' brief. */
export const DEPLOYMENTS: DeploymentSpec[] = [
  build(
    'vanua',
    {
      drafting: 6,
      desk: 4,
      domains: 4,
      adapters: 56,
      modelGb: {
        desk: repeat(22, 6),
        drafting: [48, 28, 28, 28, 28, 14, 14],
      },
    },
    {
      adapterBytes: 0.4 * GB,
      entries: 3,
      oneWayMs: 0.5,
      loadsPerSecond: 1,
      loadsAtOnce: 4,
      attainmentWeight: 1,
      moveWeight: 5,
      baseRates: {desk: 4, drafting: 0.6},
    },
  ),
  build(
    'reports-desk',
    {
      drafting: 13,
      desk: 3,
      domains: 3,
      adapters: 95,
      modelGb: {
        desk: repeat(9, 14),
        drafting: [...repeat(36, 2), ...repeat(22, 8), ...repeat(9, 15)],
      },
    },
    {
      adapterBytes: 0.3 * GB,
      entries: 3,
      oneWayMs: 1,
      loadsPerSecond: 2,
      loadsAtOnce: 3,
      attainmentWeight: 1,
      moveWeight: 40,
      baseRates: {desk: 3, drafting: 1.4},
    },
  ),
];
