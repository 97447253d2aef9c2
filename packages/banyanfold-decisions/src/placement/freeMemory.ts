import type {PlacementCopy} from '../types.js';
import type {PlacementPlan, PlannedRunner} from './placementPlan.js';

/** Copies that go together: a model's with its adapters', or one adapter's. */
export interface Bundle {
  copies: PlacementCopy[];
  bytes: number;
}

/** What has to go from a runner so that an artifact fits. */
export interface Room {
  copies: PlacementCopy[];
  /** Slots that the copies keep in use, and that others must take over. */
  lostSlots: number;
}

/**
 * Finds copies whose retirement frees enough for `bytes`, least used for their
 * size first, or undefined when there are not enough. Each is held elsewhere
 * too, or is no longer published.
 *
 * @param keep the model whose copy has to stay.
 * @param isSpare which of the copies held elsewhere may go.
 */
export function findRoom(
  plan: PlacementPlan,
  target: PlannedRunner,
  bytes: number,
  keep = '',
  isSpare: (copy: PlacementCopy) => boolean = () => true,
): Room | undefined {
  const room: Room = {copies: [], lostSlots: 0};
  let missingBytes = bytes - target.freeBytes - releasingBytes(target);
  if (missingBytes <= 0) return room;
  const bundles = bundlesOn(target)
    .filter(({copies}) => copies.every(({artifact}) => artifact !== keep))
    .filter(({copies}) =>
      copies.every(copy => isSurplus(plan, target, copy, isSpare)),
    )
    .sort((a, b) => lossPerByte(plan, a) - lossPerByte(plan, b));
  for (const bundle of bundles) {
    const added = bundle.copies.filter(copy => !room.copies.includes(copy));
    room.copies.push(...added);
    for (const {artifact, bytes: freed} of added) {
      room.lostSlots += plan.slotsShareOf(artifact);
      missingBytes -= freed;
    }
    if (missingBytes <= 0) return room;
  }
  return undefined;
}

/**
 * Plans the retirements. A model serves its adapters, so it goes only in a
 * later decision, once its adapters' memory there has been released.
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

/** Each adapter alone, and each model with the adapters that need it there. */
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
    (sum, {artifact}) => sum + plan.slotsShareOf(artifact),
    0,
  );
  return lost / Math.max(1, bundle.bytes);
}
