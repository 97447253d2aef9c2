import type {PlacementOptions} from '../options.js';
import type {PlacementArtifact} from '../types.js';
import {rankTargets, type Target} from './chooseTarget.js';
import {findRetirements, retireAll, type Retirements} from './freeMemory.js';
import type {PlacementPlan, PlannedRunner} from './placementPlan.js';
import {relocateSoleCopies} from './relocateSoleCopies.js';

/** An orphan for which no runner has enough free memory. */
export interface UnfittedOrphan {
  orphan: PlacementArtifact;
  /** Including what its adapters will need. */
  neededBytes: number;
}

/**
 * Frees memory for a few orphans at once, the largest of each priority first:
 * smaller ones fit into the remaining memory, but a large one would not fit
 * after them. The order is the same in each decision, so that each continues
 * what the previous one began.
 *
 * @returns whether memory is being freed for any orphan.
 */
export function makeRoomForOrphans(
  plan: PlacementPlan,
  unfitted: UnfittedOrphan[],
  options: PlacementOptions,
): boolean {
  const claimedRunners = new Set<PlannedRunner>();
  let clearedCount = 0;
  for (const {orphan, neededBytes} of [...unfitted].sort(byClassAndSize)) {
    if (clearedCount >= options.roomsAtOnce) {
      plan.markUnplaced(orphan, 'waits-for-memory');
      continue;
    }
    const targets = rankTargets(plan, orphan);
    const unclaimed = targets.filter(({target}) => !claimedRunners.has(target));
    const target =
      retireSurplus(plan, orphan, neededBytes, unclaimed) ??
      relocateSoleCopies(plan, orphan, neededBytes, unclaimed);
    if (target) {
      claimedRunners.add(target);
      clearedCount += 1;
    } else {
      plan.markUnplaced(
        orphan,
        targets.length === 0 ? 'no-runner' : 'no-memory',
      );
    }
  }
  return clearedCount > 0;
}

/** Retires surplus copies where that costs least; returns the runner. */
function retireSurplus(
  plan: PlacementPlan,
  orphan: PlacementArtifact,
  neededBytes: number,
  targets: readonly Target[],
): PlannedRunner | undefined {
  let best:
    {target: PlannedRunner; retirements: Retirements; cost: number} | undefined;
  for (const {target, cost} of targets) {
    const retirements = findRetirements(
      plan,
      target,
      neededBytes,
      orphan.modelArtifact,
    );
    if (!retirements) continue;
    const total = cost + retirements.lostSlots / plan.slotsOf(target);
    if (!best || total < best.cost) best = {target, retirements, cost: total};
  }
  if (!best) return undefined;
  retireAll(
    plan,
    best.target,
    best.retirements.copies,
    `room-for ${orphan.artifact}`,
  );
  return best.target;
}

function byClassAndSize(a: UnfittedOrphan, b: UnfittedOrphan): number {
  if (a.orphan.priority !== b.orphan.priority) {
    return a.orphan.priority - b.orphan.priority;
  }
  if (a.neededBytes !== b.neededBytes) return b.neededBytes - a.neededBytes;
  return a.orphan.artifact < b.orphan.artifact ? -1 : 1;
}
