import {
  WEIGHT_MEMORY_BYTES,
  type DeploymentSpec,
  type ModelSpec,
  type WorkKind,
} from './deployments.js';
import {zipfWeights} from './random.js';

/** Of its weight memory a runner is filled to this share at the start. */
const FILL_SHARE = 0.85;
const MODEL_SKEW = 1.1;

interface Slot {
  vmId: string;
  role: WorkKind;
  failureDomain: string;
  freeBytes: number;
  models: ModelSpec[];
}

/**
 * The placement by steady demand that every policy starts from: one copy of
 * each model with its adapters, then extra copies of those with the most
 * demand for each copy.
 */
export function initialPlacement(
  deployment: DeploymentSpec,
): Map<string, ModelSpec[]> {
  const slots: Slot[] = deployment.runners.map(runner => ({
    ...runner,
    freeBytes: WEIGHT_MEMORY_BYTES * FILL_SHARE,
    models: [],
  }));
  const copies = new Map<ModelSpec, number>();
  const place = (model: ModelSpec): boolean => {
    const bytes = bundleBytes(deployment, model);
    const slot = bestSlot(slots, model, bytes);
    if (!slot) return false;
    slot.models.push(model);
    slot.freeBytes -= bytes;
    copies.set(model, (copies.get(model) ?? 0) + 1);
    return true;
  };
  const bySize = [...deployment.models].sort((a, b) => b.bytes - a.bytes);
  for (const model of bySize) {
    if (!place(model)) throw new Error(`no room at the start: ${model.name}`);
  }
  addCopies(deployment, copies, place);
  return new Map(slots.map(({vmId, models}) => [vmId, models]));
}

/** Demand of each model at steady load, the trace's own popularity. */
function demandOf(deployment: DeploymentSpec): Map<ModelSpec, number> {
  const demand = new Map<ModelSpec, number>();
  for (const kind of ['desk', 'drafting'] as const) {
    const models = deployment.models.filter(model => model.kind === kind);
    const weights = zipfWeights(models.length, MODEL_SKEW);
    models.forEach((model, rank) => demand.set(model, weights[rank]!));
  }
  return demand;
}

function addCopies(
  deployment: DeploymentSpec,
  copies: ReadonlyMap<ModelSpec, number>,
  place: (model: ModelSpec) => boolean,
): void {
  const demand = demandOf(deployment);
  const open = new Set(deployment.models);
  while (open.size > 0) {
    const next = [...open].reduce((best, model) =>
      demand.get(model)! / copies.get(model)! >
      demand.get(best)! / copies.get(best)!
        ? model
        : best,
    );
    if (!place(next)) open.delete(next);
  }
}

export function bundleBytes(
  deployment: DeploymentSpec,
  model: ModelSpec,
): number {
  return model.bytes + model.adapters.length * deployment.adapterBytes;
}

/** Its own role before the other, a new failure domain before a used one. */
function bestSlot(
  slots: Slot[],
  model: ModelSpec,
  bytes: number,
): Slot | undefined {
  const used = new Set(
    slots
      .filter(({models}) => models.includes(model))
      .map(s => s.failureDomain),
  );
  const rank = (slot: Slot): number =>
    (slot.role === model.kind ? 0 : 4) +
    (used.has(slot.failureDomain) ? 1 : 0) -
    slot.freeBytes / WEIGHT_MEMORY_BYTES;
  return slots
    .filter(
      ({freeBytes, models}) => freeBytes >= bytes && !models.includes(model),
    )
    .sort((a, b) => rank(a) - rank(b))[0];
}
