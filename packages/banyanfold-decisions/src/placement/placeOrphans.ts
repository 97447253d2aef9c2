import type {PlacementOptions} from '../options.js';
import type {PlacementArtifact} from '../types.js';
import {rankTargets} from './chooseTarget.js';
import {makeRoomForOrphans, type UnfittedOrphan} from './makeRoomForOrphans.js';
import type {PlacementPlan, PlannedRunner} from './placementPlan.js';

/** Smoothed demand decays slowly; below this rate it counts as none. */
const MIN_DEMAND_PER_SECOND = 0.01;

/** Whether callers request the artifact now. */
export function isRequested(orphan: PlacementArtifact): boolean {
  return orphan.waiting > 0 || orphan.demandPerSecond >= MIN_DEMAND_PER_SECOND;
}

/** Artifacts that no usable runner holds or loads, most urgent first. */
export function findOrphans(plan: PlacementPlan): PlacementArtifact[] {
  return plan.view.artifacts
    .filter(({artifact}) => plan.holders(artifact).length === 0)
    .sort(byUrgency);
}

/**
 * Plans a copy of each orphan within the limits of the weight store. If memory
 * is short, surplus copies of other artifacts are retired first; the load
 * follows in a later decision, after the agent has reported the memory as
 * released.
 *
 * @returns whether an orphan waits for memory that is being released, or for
 * the weight store.
 */
export function placeOrphans(
  plan: PlacementPlan,
  options: PlacementOptions,
  isIncluded: (orphan: PlacementArtifact) => boolean,
): boolean {
  const orphans = findOrphans(plan).filter(isIncluded);
  const unfitted: UnfittedOrphan[] = [];
  let isWaiting = false;
  for (const orphan of orphans) {
    const neededBytes = bytesWithAdapters(orphan, orphans);
    const targets = rankTargets(plan, orphan);
    const reserved = memoryForAdapters(plan, orphans, orphan.modelArtifact);
    const fitting = targets.find(
      ({target}) =>
        target.freeBytes - (reserved.get(target) ?? 0) >= neededBytes,
    );
    if (!fitting) {
      unfitted.push({orphan, neededBytes});
    } else if (plan.loadsLeft > 0) {
      plan.load(fitting.target, orphan, 'orphan');
    } else {
      plan.markUnplaced(orphan, 'weight-store-limit');
      isWaiting = true;
    }
  }
  return makeRoomForOrphans(plan, unfitted, options) || isWaiting;
}

/** Bytes of an orphan and of its adapters that have no copy either. */
function bytesWithAdapters(
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
 * Memory that adapters without a copy will need beside a model that is held or
 * being loaded. If other orphans took it, no runner could take the adapters.
 */
function memoryForAdapters(
  plan: PlacementPlan,
  orphans: readonly PlacementArtifact[],
  exceptModel: string,
): Map<PlannedRunner, number> {
  const reserved = new Map<PlannedRunner, number>();
  for (const {artifact, modelArtifact, bytes} of orphans) {
    if (artifact === modelArtifact || modelArtifact === exceptModel) continue;
    if (plan.holders(artifact).length > 0) continue;
    const [holder] = plan.holders(modelArtifact);
    if (holder) reserved.set(holder, (reserved.get(holder) ?? 0) + bytes);
  }
  return reserved;
}

/** Orders adapters before models: they load quickly and complete a model. */
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
