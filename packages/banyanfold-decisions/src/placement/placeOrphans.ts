import type {PlacementOptions} from '../options.js';
import type {PlacementArtifact} from '../types.js';
import {rankTargets} from './chooseTarget.js';
import {makeRoomForOrphans, type TightOrphan} from './makeRoomForOrphans.js';
import type {PlacementPlan, PlannedRunner} from './placementPlan.js';

/** Smoothed demand falls off for long; below this nobody asks any more. */
const MIN_DEMAND_PER_SECOND = 0.01;

/** Whether callers ask for it now. */
export function isRequested(orphan: PlacementArtifact): boolean {
  return orphan.waiting > 0 || orphan.demandPerSecond >= MIN_DEMAND_PER_SECOND;
}

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
  isWanted: (orphan: PlacementArtifact) => boolean,
): boolean {
  const orphans = findOrphans(plan).filter(isWanted);
  const tight: TightOrphan[] = [];
  let isWaiting = false;
  for (const orphan of orphans) {
    const neededBytes = withAdapters(orphan, orphans);
    const targets = rankTargets(plan, orphan);
    const spoken = spokenFor(plan, orphans, orphan.modelArtifact);
    const roomy = targets.find(
      ({target}) => target.freeBytes - (spoken.get(target) ?? 0) >= neededBytes,
    );
    if (!roomy) {
      tight.push({orphan, neededBytes});
    } else if (plan.loadsLeft > 0) {
      plan.load(roomy.target, orphan, 'orphan');
    } else {
      plan.refuse(orphan, 'weight-store-limit');
      isWaiting = true;
    }
  }
  return makeRoomForOrphans(plan, tight, options) || isWaiting;
}

/** Bytes of an orphan with those of its adapters that have no copy either. */
function withAdapters(
  orphan: PlacementArtifact,
  orphans: readonly PlacementArtifact[],
): number {
  return orphans
    .filter(
      ({artifact, modelArtifact}) =>
        artifact === orphan.artifact || modelArtifact === orphan.artifact,
    )
    .reduce((sum, {bytes}) => sum + bytes, 0);
}

/**
 * Memory that orphaned adapters will need beside a model that is held or on
 * its way. Given to another orphan, it would leave them nowhere to go.
 */
function spokenFor(
  plan: PlacementPlan,
  orphans: readonly PlacementArtifact[],
  exceptModel: string,
): Map<PlannedRunner, number> {
  const spoken = new Map<PlannedRunner, number>();
  for (const {artifact, modelArtifact, bytes} of orphans) {
    if (artifact === modelArtifact || modelArtifact === exceptModel) continue;
    if (plan.holders(artifact).length > 0) continue;
    const [home] = plan.holders(modelArtifact);
    if (home) spoken.set(home, (spoken.get(home) ?? 0) + bytes);
  }
  return spoken;
}

/** Adapters before models: they are short to load and complete a model. */
function byUrgency(a: PlacementArtifact, b: PlacementArtifact): number {
  if (a.priority !== b.priority) return a.priority - b.priority;
  const aIsModel = a.artifact === a.modelArtifact;
  const bIsModel = b.artifact === b.modelArtifact;
  if (aIsModel !== bIsModel) return aIsModel ? 1 : -1;
  if (a.waiting !== b.waiting) return b.waiting - a.waiting;
  if (a.demandPerSecond !== b.demandPerSecond) {
    return b.demandPerSecond - a.demandPerSecond;
  }
  return a.artifact < b.artifact ? -1 : 1;
}
