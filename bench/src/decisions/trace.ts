import type {Random} from '@banyanfold/decisions';
import {TARGETS, type DeploymentSpec, type WorkKind} from './deployments.js';
import {
  createRandom,
  exponential,
  weightedIndex,
  zipfWeights,
} from './random.js';
import {DURATION_MS, EVENT_MS, type Scenario} from './scenarios.js';

/** One ask of a caller; drawn once, the same for every policy. */
export interface TraceRequest {
  id: string;
  atMs: number;
  kind: WorkKind;
  model: string;
  /** Empty for the model itself. */
  adapter: string;
  promptTokens: number;
  prefixTokens: number;
  prefixHash: string;
  outputTokens: number;
  entry: number;
  /** In [0, 1); how readily the caller asks again after a refusal. */
  persistence: number;
}

const MODEL_SKEW = 1.1;
const ADAPTER_SHARE = 0.6;
const ARRIVAL_STEP_MS = 1_000;

interface KindShape {
  promptTokens: [number, number];
  prefixTokens: number;
  prefixesPerModel: number;
  outputTokens: [number, number];
}

const SHAPES: Record<WorkKind, KindShape> = {
  desk: {
    promptTokens: [500, 900],
    prefixTokens: 400,
    prefixesPerModel: 6,
    outputTokens: [60, 120],
  },
  drafting: {
    promptTokens: [4_000, 12_000],
    prefixTokens: 3_500,
    prefixesPerModel: 30,
    outputTokens: [250, 500],
  },
};

/** Draws the arrivals of one scenario, in order of time. */
export function drawTrace(
  deployment: DeploymentSpec,
  scenario: Scenario,
  seed: number,
): TraceRequest[] {
  const random = createRandom(seed);
  const requests: TraceRequest[] = [];
  for (const kind of Object.keys(TARGETS) as WorkKind[]) {
    drawKind(deployment, scenario, kind, random, requests);
  }
  requests.sort((a, b) => a.atMs - b.atMs);
  requests.forEach((request, index) => {
    request.id = `q${index}`;
  });
  return requests;
}

function drawKind(
  deployment: DeploymentSpec,
  scenario: Scenario,
  kind: WorkKind,
  random: Random,
  requests: TraceRequest[],
): void {
  const models = deployment.models.filter(model => model.kind === kind);
  const before = zipfWeights(models.length, MODEL_SKEW);
  const after = scenario.shiftsPopularity ? [...before].reverse() : before;
  let atMs = 0;
  while (atMs < DURATION_MS) {
    const rate = deployment.baseRates[kind] * scenario.rateFactor(kind, atMs);
    const gapMs = exponential(random, 1_000 / rate);
    if (gapMs > ARRIVAL_STEP_MS) {
      atMs += ARRIVAL_STEP_MS;
      continue;
    }
    atMs += gapMs;
    const weights = atMs < EVENT_MS ? before : after;
    const model = models[weightedIndex(random, weights)]!;
    requests.push(drawRequest(deployment, kind, model, atMs, random));
  }
}

function drawRequest(
  deployment: DeploymentSpec,
  kind: WorkKind,
  model: {name: string; adapters: string[]},
  atMs: number,
  random: Random,
): TraceRequest {
  const shape = SHAPES[kind];
  const adapter =
    random() < ADAPTER_SHARE && model.adapters.length > 0
      ? model.adapters[Math.floor(random() * model.adapters.length)]!
      : '';
  const prefix = Math.floor(random() ** 2 * shape.prefixesPerModel);
  return {
    id: '',
    atMs,
    kind,
    model: model.name,
    adapter,
    promptTokens: between(random, shape.promptTokens),
    prefixTokens: shape.prefixTokens,
    prefixHash: `${model.name}+${adapter}/${prefix}`,
    outputTokens: between(random, shape.outputTokens),
    entry: Math.floor(random() * deployment.entries),
    persistence: random(),
  };
}

function between(random: Random, [low, high]: [number, number]): number {
  return Math.round(low + random() * (high - low));
}
