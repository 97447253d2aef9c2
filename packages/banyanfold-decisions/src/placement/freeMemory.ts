import type {PlacementCopy} from '../types.js';
import type {PlacementPlan, PlannedRunner} from './placementPlan.js';

/**
 * Copies on a runner whose retirement frees enough for `bytes`, least used
 * first, or undefined when there are not enough. Each is held elsewhere too.
 */
export function findSurplus(
  plan: PlacementPlan,
  target: PlannedRunner,
  bytes: number,
  minIdleMs: number,
): PlacementCopy[] | undefined {
  const chosen: PlacementCopy[] = [];
  let missingBytes = bytes - target.freeBytes - releasingBytes(target);
  if (missingBytes <= 0) return chosen;
  const candidates = [...target.copies.values()]
    .filter(copy => isSurplus(plan, target, copy, minIdleMs))
    .sort((a, b) => lossPerByte(plan, a) - lossPerByte(plan, b));
  for (const copy of candidates) {
    chosen.push(copy);
    missingBytes -= copy.bytes;
    if (missingBytes <= 0) return chosen;
  }
  return undefined;
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
  minIdleMs: number,
): boolean {
  if (copy.state !== 'held' || copy.idleMs < minIdleMs) return false;
  if (hasAdapters(target, copy.artifact)) return false;
  if (isReliedOn(plan, copy.copyId)) return false;
  return plan.reliableCopyIds(target, copy.artifact).length > 0;
}

/** An adapter serves only beside its model. */
function hasAdapters(target: PlannedRunner, modelArtifact: string): boolean {
  const prefix = `${modelArtifact}+`;
  return [...target.copies.keys()].some(name => name.startsWith(prefix));
}

function isReliedOn(plan: PlacementPlan, copyId: string): boolean {
  return plan.moves.some(move => move.reliesOnCopyIds.includes(copyId));
}

function lossPerByte(plan: PlacementPlan, copy: PlacementCopy): number {
  return plan.shareOf(copy.artifact) / Math.max(1, copy.bytes);
}
