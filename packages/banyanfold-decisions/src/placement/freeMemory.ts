import type {PlacementCopy} from '../types.js';
import type {PlacementPlan, PlannedRunner} from './placementPlan.js';

/** Copies retired together: a model with its adapters, or one adapter. */
export interface Bundle {
  copies: PlacementCopy[];
  bytes: number;
}

/** Copies to retire on a runner so that an artifact fits. */
export interface Retirements {
  copies: PlacementCopy[];
  /** Slots that the copies keep in use, which other runners must take over. */
  lostSlots: number;
}

/**
 * Finds copies whose retirement frees enough memory for `bytes`, those with the
 * least use for their size first. Each of them is also held elsewhere, or no
 * longer published.
 *
 * @param keptModel the model whose copy must stay.
 * @param isSpare which of the copies that are held elsewhere may be retired.
 * @returns undefined if the copies don't free enough memory.
 */
export function findRetirements(
  plan: PlacementPlan,
  target: PlannedRunner,
  bytes: number,
  keptModel = '',
  isSpare: (copy: PlacementCopy) => boolean = () => true,
): Retirements | undefined {
  const retirements: Retirements = {copies: [], lostSlots: 0};
  let missingBytes = bytes - target.freeBytes - releasingBytes(target);
  if (missingBytes <= 0) return retirements;
  const bundles = bundlesOn(target)
    .filter(({copies}) => copies.every(({artifact}) => artifact !== keptModel))
    .filter(({copies}) =>
      copies.every(copy => isSurplus(plan, target, copy, isSpare)),
    )
    .sort((a, b) => lossPerByte(plan, a) - lossPerByte(plan, b));
  for (const bundle of bundles) {
    const added = bundle.copies.filter(
      copy => !retirements.copies.includes(copy),
    );
    retirements.copies.push(...added);
    for (const {artifact, bytes: freed} of added) {
      retirements.lostSlots += plan.slotsPerCopy(artifact);
      missingBytes -= freed;
    }
    if (missingBytes <= 0) return retirements;
  }
  return undefined;
}

/**
 * Plans the retirements. A model serves its adapters, so it is retired only in
 * a later decision, after the memory of its adapters there has been released.
 */
export function retireAll(
  plan: PlacementPlan,
  target: PlannedRunner,
  copies: readonly PlacementCopy[],
  reason: string,
): void {
  for (const copy of copies) {
    if (adaptersOn(target, copy.artifact).length > 0) continue;
    plan.retire(target, copy, reason);
  }
}

/**
 * Returns each adapter alone, and each model with its adapters on the runner.
 */
export function bundlesOn(target: PlannedRunner): Bundle[] {
  return [...target.copies.values()].map(copy => {
    const copies = [...adaptersOn(target, copy.artifact), copy];
    const bytes = copies.reduce((sum, member) => sum + member.bytes, 0);
    return {copies, bytes};
  });
}

export function adaptersOn(
  {copies}: PlannedRunner,
  modelArtifact: string,
): PlacementCopy[] {
  const prefix = `${modelArtifact}+`;
  return [...copies.values()].filter(({artifact}) =>
    artifact.startsWith(prefix),
  );
}

function releasingBytes(target: PlannedRunner): number {
  let sum = 0;
  for (const copy of target.copies.values()) {
    if (copy.state === 'releasing') sum += copy.bytes;
  }
  return sum;
}

function isSurplus(
  plan: PlacementPlan,
  target: PlannedRunner,
  copy: PlacementCopy,
  isSpare: (copy: PlacementCopy) => boolean,
): boolean {
  if (copy.state === 'releasing') return true;
  if (copy.state !== 'held') return false;
  if (!plan.artifacts.has(copy.artifact)) return true;
  if (!isSpare(copy)) return false;
  if (isReliedOn(plan, copy.copyId)) return false;
  return plan.reliableCopyIds(target, copy.artifact).length > 0;
}

function isReliedOn(plan: PlacementPlan, copyId: string): boolean {
  return plan.moves.some(move => move.reliesOnCopyIds.includes(copyId));
}

function lossPerByte(plan: PlacementPlan, bundle: Bundle): number {
  const lost = bundle.copies.reduce(
    (sum, {artifact}) => sum + plan.slotsPerCopy(artifact),
    0,
  );
  return lost / Math.max(1, bundle.bytes);
}
