import type {PlacementOptions} from '../options.js';
import type {PlacementArtifact} from '../types.js';
import {rankTargets, type Target} from './chooseTarget.js';
import {findRoom, retireAll, type Room} from './freeMemory.js';
import type {PlacementPlan, PlannedRunner} from './placementPlan.js';
import {relocateFor} from './relocateFor.js';

/** Labelled artifacts that no usable runner holds or loads, most urgent first. */
export function findOrphans(plan: PlacementPlan): PlacementArtifact[] {
  return plan.view.artifacts
    .filter(({artifact}) => plan.holders(artifact).length === 0)
    .sort(byUrgency);
}

/**
 * Plans a copy of each orphan within the weight store's limits. Where memory
 * is short, surplus copies of others go first; the load follows in a later
 * decision, once the agent has seen the memory released.
 *
 * @returns whether an orphan waits for memory that is being released or for
 *   the weight store.
 */
export function placeOrphans(
  plan: PlacementPlan,
  options: PlacementOptions,
): boolean {
  let roomsMade = 0;
  let isWaiting = false;
  for (const orphan of findOrphans(plan)) {
    const targets = rankTargets(plan, orphan, options);
    const roomy = targets.find(({target}) => target.freeBytes >= orphan.bytes);
    if (roomy && plan.loadsLeft > 0) {
      plan.load(roomy.target, orphan, 'orphan');
      continue;
    }
    if (roomy || roomsMade >= options.loadsAtOnce) {
      refuse(plan, orphan, 'weight-store-limit');
      isWaiting = true;
      continue;
    }
    roomsMade += 1;
    if (
      makeRoom(plan, orphan, targets, options) ||
      relocateFor(plan, orphan, targets)
    ) {
      isWaiting = true;
      continue;
    }
    refuse(plan, orphan, targets.length === 0 ? 'no-runner' : 'no-memory');
  }
  return isWaiting;
}

function refuse(
  plan: PlacementPlan,
  {artifact}: PlacementArtifact,
  reason: string,
): void {
  plan.unplaced.push({artifact, reason});
}

/** Retires surplus where the rest loses least; true when that will do. */
function makeRoom(
  plan: PlacementPlan,
  orphan: PlacementArtifact,
  targets: readonly Target[],
  options: PlacementOptions,
): boolean {
  let best: {target: PlannedRunner; room: Room; cost: number} | undefined;
  for (const {target, cost} of targets) {
    const room = findRoom(plan, target, orphan.bytes, 0, orphan.modelArtifact);
    if (!room) continue;
    const lost = room.lostPerSecond / options.runnerRequestsPerSecond;
    const total = cost + lost;
    if (!best || total < best.cost) best = {target, room, cost: total};
  }
  if (!best) return false;
  retireAll(plan, best.target, best.room.copies, `room-for ${orphan.artifact}`);
  return true;
}

function byUrgency(a: PlacementArtifact, b: PlacementArtifact): number {
  if (a.priority !== b.priority) return a.priority - b.priority;
  if (a.waiting !== b.waiting) return b.waiting - a.waiting;
  if (a.demandPerSecond !== b.demandPerSecond) {
    return b.demandPerSecond - a.demandPerSecond;
  }
  return a.artifact < b.artifact ? -1 : 1;
}
