import type {PlacementArtifact} from '../types.js';
import type {Target} from './chooseTarget.js';
import {bundlesOn, findRoom, retireAll, type Bundle} from './freeMemory.js';
import type {PlacementPlan, PlannedRunner} from './placementPlan.js';

interface Relocation {
  home: PlannedRunner;
  /** Members of the bundle that no other runner holds yet. */
  missing: PlacementArtifact[];
  missingBytes: number;
}

/**
 * Makes an orphan's room out of sole copies, by loading them elsewhere first.
 * Later decisions see them as surplus and retire them. Of all ways the one
 * with the fewest bytes still to load is taken, so that decisions go on with
 * what earlier ones began.
 *
 * @returns whether any way was found.
 */
export function relocateFor(
  plan: PlacementPlan,
  orphan: PlacementArtifact,
  neededBytes: number,
  targets: readonly Target[],
): boolean {
  let best: Relocation | undefined;
  for (const {target} of targets) {
    for (const bundle of bundlesOn(target)) {
      if (!wouldFit(target, bundle, orphan, neededBytes)) continue;
      const relocation = relocationOf(plan, target, bundle, orphan);
      if (!relocation) continue;
      if (!best || relocation.missingBytes < best.missingBytes) {
        best = relocation;
      }
    }
  }
  if (!best) return false;
  const {home, missingBytes} = best;
  const room = findRoom(plan, home, missingBytes, orphan.modelArtifact);
  const reason = `make-room-for ${orphan.artifact}`;
  if (room) retireAll(plan, home, room.copies, reason);
  for (const artifact of best.missing) {
    if (plan.loadsLeft <= 0) break;
    if (home.freeBytes < artifact.bytes) break;
    if (canLoadNow(home, artifact)) plan.load(home, artifact, reason);
  }
  return true;
}

function wouldFit(
  target: PlannedRunner,
  bundle: Bundle,
  orphan: PlacementArtifact,
  neededBytes: number,
): boolean {
  const needsModel = bundle.copies.some(
    ({artifact}) => artifact === orphan.modelArtifact,
  );
  if (needsModel) return false;
  if (bundle.copies.some(({state}) => state !== 'held')) return false;
  return target.freeBytes + bundle.bytes >= neededBytes;
}

function relocationOf(
  plan: PlacementPlan,
  target: PlannedRunner,
  bundle: Bundle,
  orphan: PlacementArtifact,
): Relocation | undefined {
  const missing: PlacementArtifact[] = [];
  for (const {artifact} of [...bundle.copies].reverse()) {
    const published = plan.artifacts.get(artifact);
    if (!published) continue;
    const others = plan.holders(artifact).filter(other => other !== target);
    if (others.length === 0) missing.push(published);
  }
  const missingBytes = missing.reduce((sum, {bytes}) => sum + bytes, 0);
  const homes = [...plan.runners.values()].filter(
    other =>
      other !== target &&
      missing.every(artifact => couldServe(other, artifact, missing)),
  );
  const home =
    homes.find(({freeBytes}) => freeBytes >= missingBytes) ??
    homes.find(other =>
      findRoom(plan, other, missingBytes, orphan.modelArtifact),
    );
  return home && {home, missing, missingBytes};
}

/** The model has to be there, or to come with the same bundle. */
function couldServe(
  home: PlannedRunner,
  artifact: PlacementArtifact,
  missing: readonly PlacementArtifact[],
): boolean {
  if (home.copies.has(artifact.artifact)) return false;
  if (artifact.artifact === artifact.modelArtifact) return true;
  const modelComes = missing.some(
    other => other.artifact === artifact.modelArtifact,
  );
  return modelComes || home.copies.has(artifact.modelArtifact);
}

function canLoadNow(home: PlannedRunner, artifact: PlacementArtifact): boolean {
  if (artifact.artifact === artifact.modelArtifact) return true;
  return home.copies.get(artifact.modelArtifact)?.state === 'held';
}
