import type {PlacementArtifact} from '../types.js';
import type {Target} from './chooseTarget.js';
import {
  bundlesOn,
  findRetirements,
  retireAll,
  type Bundle,
} from './freeMemory.js';
import type {PlacementPlan, PlannedRunner} from './placementPlan.js';

/** How a bundle is moved off a runner. */
interface Relocation {
  bundle: Bundle;
  /** Runner that loads the missing members; undefined if there are none. */
  host: PlannedRunner | undefined;
  /** Members of the bundle that no other runner holds yet, the model first. */
  missing: PlacementArtifact[];
  missingBytes: number;
}

/** Memory of other runners that relocations planned together will use. */
type ReservedBytes = Map<PlannedRunner, number>;

/**
 * Frees memory for an orphan by loading sole copies elsewhere. Later decisions
 * treat the originals as surplus and retire them. The runner with the fewest
 * bytes still to load is chosen, so that decisions continue what earlier ones
 * began.
 *
 * @returns the runner that is being cleared, or undefined.
 */
export function relocateSoleCopies(
  plan: PlacementPlan,
  orphan: PlacementArtifact,
  neededBytes: number,
  targets: readonly Target[],
): PlannedRunner | undefined {
  let best: {target: PlannedRunner; relocations: Relocation[]} | undefined;
  for (const {target} of targets) {
    const relocations = planRelocations(plan, target, orphan, neededBytes);
    if (!relocations) continue;
    if (!best || bytesToLoad(relocations) < bytesToLoad(best.relocations)) {
      best = {target, relocations};
    }
  }
  for (const each of best?.relocations ?? []) startLoads(plan, each, orphan);
  return best?.target;
}

/** Returns the relocations that clear enough of a runner, cheapest first. */
function planRelocations(
  plan: PlacementPlan,
  target: PlannedRunner,
  orphan: PlacementArtifact,
  neededBytes: number,
): Relocation[] | undefined {
  const reserved: ReservedBytes = new Map();
  const relocations: Relocation[] = [];
  let clearedBytes = target.freeBytes;
  const bundles = bundlesOn(target)
    .filter(bundle => isMovable(bundle, orphan))
    .map(bundle => ({bundle, missing: missingOf(plan, target, bundle)}))
    .sort((a, b) => bytesOf(a.missing) - bytesOf(b.missing));
  for (const {bundle, missing} of bundles) {
    const relocation = relocate(
      plan,
      target,
      bundle,
      missing,
      orphan,
      reserved,
    );
    if (!relocation) continue;
    relocations.push(relocation);
    clearedBytes += bundle.bytes;
    if (clearedBytes >= neededBytes) return relocations;
  }
  return undefined;
}

/** Whether the bundle is a whole model; its adapters move with it. */
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
  reserved: ReservedBytes,
): Relocation | undefined {
  const missingBytes = bytesOf(missing);
  if (missing.length === 0) {
    return {bundle, host: undefined, missing, missingBytes};
  }
  const hosts = [...plan.runners.values()].filter(
    other =>
      other !== target &&
      missing.every(artifact => canHost(other, artifact, missing)),
  );
  const bytesNeededOn = (host: PlannedRunner): number =>
    missingBytes + (reserved.get(host) ?? 0);
  const host =
    hosts.find(other => other.freeBytes >= bytesNeededOn(other)) ??
    hosts.find(other =>
      findRetirements(plan, other, bytesNeededOn(other), orphan.modelArtifact),
    );
  if (!host) return undefined;
  reserved.set(host, bytesNeededOn(host));
  return {bundle, host, missing, missingBytes};
}

/** Loads what fits into memory now, and frees memory for the rest. */
function startLoads(
  plan: PlacementPlan,
  {host, missing, missingBytes}: Relocation,
  orphan: PlacementArtifact,
): void {
  if (!host) return;
  const reason = `make-room-for ${orphan.artifact}`;
  const retirements = findRetirements(
    plan,
    host,
    missingBytes,
    orphan.modelArtifact,
  );
  if (retirements) retireAll(plan, host, retirements.copies, reason);
  for (const artifact of missing) {
    if (plan.loadsLeft <= 0 || host.freeBytes < artifact.bytes) return;
    if (canLoadNow(host, artifact)) plan.load(host, artifact, reason);
  }
}

/** Requires the model to be there, or to be loaded with the same bundle. */
function canHost(
  host: PlannedRunner,
  {artifact, modelArtifact}: PlacementArtifact,
  missing: readonly PlacementArtifact[],
): boolean {
  if (host.copies.has(artifact)) return false;
  if (artifact === modelArtifact) return true;
  const modelComes = missing.some(other => other.artifact === modelArtifact);
  return modelComes || host.copies.has(modelArtifact);
}

function canLoadNow(
  host: PlannedRunner,
  {artifact, modelArtifact}: PlacementArtifact,
): boolean {
  if (artifact === modelArtifact) return true;
  return host.copies.get(modelArtifact)?.state === 'held';
}

function bytesToLoad(relocations: readonly Relocation[]): number {
  return relocations.reduce((sum, {missingBytes}) => sum + missingBytes, 0);
}

function bytesOf(artifacts: readonly PlacementArtifact[]): number {
  return artifacts.reduce((sum, {bytes}) => sum + bytes, 0);
}
