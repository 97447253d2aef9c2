import type {PlacementOptions} from '../options.js';
import type {PlacementArtifact} from '../types.js';
import {rankTargets} from './chooseTarget.js';
import {findRoom, retireAll} from './freeMemory.js';
import type {PlacementPlan, PlannedRunner} from './placementPlan.js';

const MS_PER_SECOND = 1000;

/** Plans extra copies of what keeps runners busy above a load. */
export function growHot(
  plan: PlacementPlan,
  options: PlacementOptions,
  aboveLoad: number,
): void {
  const hot = [...plan.runners.values()]
    .filter(({load}) => load > aboveLoad)
    .sort((a, b) => b.load - a.load);
  for (const source of hot) {
    if (plan.loadsLeft <= 0) return;
    relieve(plan, source, options);
  }
}

function relieve(
  plan: PlacementPlan,
  source: PlannedRunner,
  options: PlacementOptions,
): void {
  for (const artifact of busiestArtifacts(plan, source)) {
    if (plan.holders(artifact.artifact).length >= options.maxCopies) continue;
    if (plan.holders(artifact.artifact).some(isLoading(artifact))) return;
    if (addCopy(plan, source, artifact, options)) return;
  }
}

/** A copy on its way will relieve the runner; wait for it. */
function isLoading(artifact: PlacementArtifact) {
  return ({copies}: PlannedRunner): boolean =>
    copies.get(artifact.artifact)?.state === 'reserved';
}

function busiestArtifacts(
  plan: PlacementPlan,
  source: PlannedRunner,
): PlacementArtifact[] {
  return [...source.copies.keys()]
    .map(name => plan.artifacts.get(name))
    .filter(artifact => artifact !== undefined)
    .sort(
      (a, b) => plan.slotsShareOf(b.artifact) - plan.slotsShareOf(a.artifact),
    );
}

function addCopy(
  plan: PlacementPlan,
  source: PlannedRunner,
  artifact: PlacementArtifact,
  options: PlacementOptions,
): boolean {
  for (const {target} of rankTargets(plan, artifact)) {
    const movedPerSecond = movedRate(plan, source, target, artifact);
    const room = findRoom(
      plan,
      target,
      artifact.bytes,
      options.retireIdleMs,
      artifact.modelArtifact,
    );
    if (!room) continue;
    const retirements = room.copies.length;
    if (!isWorthwhile(movedPerSecond, artifact, retirements, options)) continue;
    if (target.freeBytes >= artifact.bytes) {
      plan.load(target, artifact, `hot: +${movedPerSecond.toFixed(2)}/s`);
    }
    retireAll(plan, target, room.copies, `room-for ${artifact.artifact}`);
    return true;
  }
  return false;
}

/** Requests a second that would move from the source to the target. */
function movedRate(
  plan: PlacementPlan,
  source: PlannedRunner,
  target: PlannedRunner,
  artifact: PlacementArtifact,
): number {
  const copies = plan.holders(artifact.artifact).length;
  const newSharePerSecond = artifact.demandPerSecond / (copies + 1);
  const slotsForOne = plan.slotsFor(artifact, 1);
  const spareSlots = ((source.load - target.load) / 2) * plan.slotsOf(target);
  return Math.min(newSharePerSecond, spareSlots / slotsForOne);
}

function isWorthwhile(
  movedPerSecond: number,
  artifact: PlacementArtifact,
  retirements: number,
  options: PlacementOptions,
): boolean {
  const isAdapter = artifact.artifact !== artifact.modelArtifact;
  const loadPrice = isAdapter ? options.adapterMoveShare : 1;
  const price = (loadPrice + retirements) * options.moveWeight;
  const horizonSeconds = options.horizonMs / MS_PER_SECOND;
  const gain = movedPerSecond * horizonSeconds * options.attainmentWeight;
  return gain > price * options.hysteresis;
}
