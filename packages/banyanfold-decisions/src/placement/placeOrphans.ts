import type {PlacementOptions} from '../options.js';
import type {PlacementArtifact} from '../types.js';
import {rankTargets} from './chooseTarget.js';
import {findSurplus} from './freeMemory.js';
import type {PlacementPlan} from './placementPlan.js';

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
 */
export function placeOrphans(
  plan: PlacementPlan,
  options: PlacementOptions,
): void {
  for (const orphan of findOrphans(plan)) {
    if (plan.loadsLeft <= 0) return;
    const problem = placeOrphan(plan, orphan, options);
    if (problem) {
      plan.unplaced.push({artifact: orphan.artifact, reason: problem});
    }
  }
}

function placeOrphan(
  plan: PlacementPlan,
  orphan: PlacementArtifact,
  options: PlacementOptions,
): string | undefined {
  const targets = rankTargets(plan, orphan, options);
  if (targets.length === 0) {
    return orphan.artifact === orphan.modelArtifact
      ? 'no-runner'
      : 'no-runner-holds-its-model';
  }
  const roomy = targets.find(({freeBytes}) => freeBytes >= orphan.bytes);
  if (roomy) {
    plan.load(roomy, orphan, 'orphan');
    return undefined;
  }
  for (const target of targets) {
    const surplus = findSurplus(plan, target, orphan.bytes, 0);
    if (!surplus) continue;
    for (const copy of surplus) {
      plan.retire(target, copy, `room-for ${orphan.artifact}`);
    }
    return undefined;
  }
  return 'no-memory';
}

function byUrgency(a: PlacementArtifact, b: PlacementArtifact): number {
  if (a.priority !== b.priority) return a.priority - b.priority;
  if (a.waiting !== b.waiting) return b.waiting - a.waiting;
  if (a.demandPerSecond !== b.demandPerSecond) {
    return b.demandPerSecond - a.demandPerSecond;
  }
  return a.artifact < b.artifact ? -1 : 1;
}
