import type {PlacementOptions} from '../options.js';
import type {PlacementArtifact} from '../types.js';
import {rankTargets, type Target} from './chooseTarget.js';
import {findRoom, retireAll, type Room} from './freeMemory.js';
import type {PlacementPlan, PlannedRunner} from './placementPlan.js';
import {relocateSoleCopies} from './relocateSoleCopies.js';

/** An orphan for which no runner has memory free now. */
export interface TightOrphan {
  orphan: PlacementArtifact;
  /** With what its adapters will need. */
  neededBytes: number;
}

/**
 * Makes room for a few orphans at once, the largest of each class first:
 * smaller ones fit into what is left, a large one wouldn't fit after them. The
 * order is the same in each decision, so that each goes on with what the one
 * before began.
 *
 * @returns whether room is being made for any.
 */
export function makeRoomForOrphans(
  plan: PlacementPlan,
  tight: TightOrphan[],
  options: PlacementOptions,
): boolean {
  const claimed = new Set<PlannedRunner>();
  let made = 0;
  for (const {orphan, neededBytes} of [...tight].sort(byClassAndSize)) {
    if (made >= options.roomsAtOnce) {
      plan.refuse(orphan, 'waits-for-memory');
      continue;
    }
    const targets = rankTargets(plan, orphan);
    const open = targets.filter(({target}) => !claimed.has(target));
    const target =
      makeRoom(plan, orphan, neededBytes, open) ??
      relocateSoleCopies(plan, orphan, neededBytes, open);
    if (target) {
      claimed.add(target);
      made += 1;
    } else {
      plan.refuse(orphan, targets.length === 0 ? 'no-runner' : 'no-memory');
    }
  }
  return made > 0;
}

/** Retires surplus where the rest loses least; gives that runner. */
function makeRoom(
  plan: PlacementPlan,
  orphan: PlacementArtifact,
  neededBytes: number,
  targets: readonly Target[],
): PlannedRunner | undefined {
  let best: {target: PlannedRunner; room: Room; cost: number} | undefined;
  for (const {target, cost} of targets) {
    const room = findRoom(plan, target, neededBytes, orphan.modelArtifact);
    if (!room) continue;
    const total = cost + room.lostSlots / plan.slotsOf(target);
    if (!best || total < best.cost) best = {target, room, cost: total};
  }
  if (!best) return undefined;
  retireAll(plan, best.target, best.room.copies, `room-for ${orphan.artifact}`);
  return best.target;
}

function byClassAndSize(a: TightOrphan, b: TightOrphan): number {
  if (a.orphan.priority !== b.orphan.priority) {
    return a.orphan.priority - b.orphan.priority;
  }
  if (a.neededBytes !== b.neededBytes) return b.neededBytes - a.neededBytes;
  return a.orphan.artifact < b.orphan.artifact ? -1 : 1;
}
