import type {PlacementArtifact} from '../types.js';
import type {Target} from './chooseTarget.js';
import {bundlesOn, findRoom, retireAll, type Bundle} from './freeMemory.js';
import type {PlacementPlan, PlannedRunner} from './placementPlan.js';

/** One bundle's way off a runner. */
interface Relocation {
  bundle: Bundle;
  /** Where what is missing elsewhere goes; undefined when nothing is. */
  home: PlannedRunner | undefined;
  /** Members of the bundle that no other runner holds yet, the model first. */
  missing: PlacementArtifact[];
  missingBytes: number;
}

/** Memory of other runners that relocations planned together will take. */
type Taken = Map<PlannedRunner, number>;

/**
 * Makes an orphan's room out of sole copies, by loading them elsewhere first.
 * Later decisions see them as surplus and retire them. Of all ways the one
 * with the fewest bytes still to load is taken, so that decisions go on with
 * what earlier ones began.
 *
 * @returns the runner that is being cleared, or undefined.
 */
export function relocateSoleCopies(
  plan: PlacementPlan,
  orphan: PlacementArtifact,
  neededBytes: number,
  targets: readonly Target[],
): PlannedRunner | undefined {
  let best: {target: PlannedRunner; way: Relocation[]} | undefined;
  for (const {target} of targets) {
    const way = clear(plan, target, orphan, neededBytes);
    if (!way) continue;
    if (!best || bytesToLoad(way) < bytesToLoad(best.way)) {
      best = {target, way};
    }
  }
  for (const relocation of best?.way ?? []) start(plan, relocation, orphan);
  return best?.target;
}

/** The relocations that clear enough of a runner, the cheapest first. */
function clear(
  plan: PlacementPlan,
  target: PlannedRunner,
  orphan: PlacementArtifact,
  neededBytes: number,
): Relocation[] | undefined {
  const taken: Taken = new Map();
  const way: Relocation[] = [];
  let clearedBytes = target.freeBytes;
  const bundles = bundlesOn(target)
    .filter(bundle => isMovable(bundle, orphan))
    .map(bundle => ({bundle, missing: missingOf(plan, target, bundle)}))
    .sort((a, b) => bytesOf(a.missing) - bytesOf(b.missing));
  for (const {bundle, missing} of bundles) {
    const relocation = relocate(plan, target, bundle, missing, orphan, taken);
    if (!relocation) continue;
    way.push(relocation);
    clearedBytes += bundle.bytes;
    if (clearedBytes >= neededBytes) return way;
  }
  return undefined;
}

/** Whole models only; their adapters go with them. */
function isMovable({copies}: Bundle, orphan: PlacementArtifact): boolean {
  const model = copies.at(-1)!;
  const isModel = !model.artifact.includes('+');
  return (
    isModel &&
    model.artifact !== orphan.modelArtifact &&
    copies.every(({state}) => state === 'held' || state === 'releasing')
  );
}

function missingOf(
  plan: PlacementPlan,
  target: PlannedRunner,
  {copies}: Bundle,
): PlacementArtifact[] {
  return [...copies]
    .reverse()
    .map(({artifact}) => plan.artifacts.get(artifact))
    .filter(artifact => artifact !== undefined)
    .filter(({artifact}) =>
      plan.holders(artifact).every(other => other === target),
    );
}

function relocate(
  plan: PlacementPlan,
  target: PlannedRunner,
  bundle: Bundle,
  missing: PlacementArtifact[],
  orphan: PlacementArtifact,
  taken: Taken,
): Relocation | undefined {
  const missingBytes = bytesOf(missing);
  if (missing.length === 0) {
    return {bundle, home: undefined, missing, missingBytes};
  }
  const homes = [...plan.runners.values()].filter(
    other =>
      other !== target &&
      missing.every(artifact => couldServe(other, artifact, missing)),
  );
  const needOn = (home: PlannedRunner): number =>
    missingBytes + (taken.get(home) ?? 0);
  const home =
    homes.find(other => other.freeBytes >= needOn(other)) ??
    homes.find(other =>
      findRoom(plan, other, needOn(other), orphan.modelArtifact),
    );
  if (!home) return undefined;
  taken.set(home, needOn(home));
  return {bundle, home, missing, missingBytes};
}

/** Loads what there is memory for now, and frees memory for the rest. */
function start(
  plan: PlacementPlan,
  {home, missing, missingBytes}: Relocation,
  orphan: PlacementArtifact,
): void {
  if (!home) return;
  const reason = `make-room-for ${orphan.artifact}`;
  const room = findRoom(plan, home, missingBytes, orphan.modelArtifact);
  if (room) retireAll(plan, home, room.copies, reason);
  for (const artifact of missing) {
    if (plan.loadsLeft <= 0 || home.freeBytes < artifact.bytes) return;
    if (canLoadNow(home, artifact)) plan.load(home, artifact, reason);
  }
}

/** The model has to be there, or to come with the same bundle. */
function couldServe(
  home: PlannedRunner,
  {artifact, modelArtifact}: PlacementArtifact,
  missing: readonly PlacementArtifact[],
): boolean {
  if (home.copies.has(artifact)) return false;
  if (artifact === modelArtifact) return true;
  const modelComes = missing.some(other => other.artifact === modelArtifact);
  return modelComes || home.copies.has(modelArtifact);
}

function canLoadNow(
  home: PlannedRunner,
  {artifact, modelArtifact}: PlacementArtifact,
): boolean {
  if (artifact === modelArtifact) return true;
  return home.copies.get(modelArtifact)?.state === 'held';
}

function bytesToLoad(way: readonly Relocation[]): number {
  return way.reduce((sum, {missingBytes}) => sum + missingBytes, 0);
}

function bytesOf(artifacts: readonly PlacementArtifact[]): number {
  return artifacts.reduce((sum, {bytes}) => sum + bytes, 0);
}
