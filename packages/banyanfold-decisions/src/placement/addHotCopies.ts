import type {PlacementOptions} from '../options.js';
import type {PlacementArtifact, PlacementCopy} from '../types.js';
import {rankTargets} from './chooseTarget.js';
import {
  adaptersOn,
  findRetirements,
  retireAll,
  type Retirements,
} from './freeMemory.js';
import type {PlacementPlan, PlannedRunner} from './placementPlan.js';

const MS_PER_SECOND = 1000;
/** Above this load, a runner refuses requests. */
export const FULL_LOAD = 1;

/** Plans extra copies of the artifacts that keep runners above a load. */
export function addHotCopies(
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

/** An artifact on a busy runner that may get an extra copy. */
interface Candidate {
  artifact: PlacementArtifact;
  /**
   * Requests per second for it; for a model, including those for its adapters.
   */
  demandPerSecond: number;
  /** Slots that this demand keeps in use on the busy runner. */
  sourceSlots: number;
  /** Cost of loading it with its adapters, in moves of a model. */
  loadPrice: number;
}

function relieve(
  plan: PlacementPlan,
  source: PlannedRunner,
  options: PlacementOptions,
): void {
  for (const candidate of candidatesOn(plan, source, options)) {
    const {artifact} = candidate.artifact;
    if (plan.holders(artifact).length >= options.maxCopies) continue;
    if (addCopy(plan, source, candidate, options)) return;
  }
}

/** Artifacts on a runner, those with the most slots in use first. */
function candidatesOn(
  plan: PlacementPlan,
  source: PlannedRunner,
  options: PlacementOptions,
): Candidate[] {
  const candidates: Candidate[] = [];
  for (const name of source.copies.keys()) {
    const artifact = plan.artifacts.get(name);
    if (!artifact) continue;
    const adapters = adaptersOn(source, name)
      .map(copy => plan.artifacts.get(copy.artifact))
      .filter(adapter => adapter !== undefined);
    const members = [artifact, ...adapters];
    candidates.push({
      artifact,
      demandPerSecond: sum(members.map(member => member.demandPerSecond)),
      sourceSlots: sum(members.map(m => plan.slotsPerCopy(m.artifact))),
      loadPrice: sum(members.map(member => movePrice(member, options))),
    });
  }
  return candidates.sort((a, b) => b.sourceSlots - a.sourceSlots);
}

function addCopy(
  plan: PlacementPlan,
  source: PlannedRunner,
  candidate: Candidate,
  options: PlacementOptions,
): boolean {
  const {artifact} = candidate;
  for (const {target} of rankTargets(plan, artifact)) {
    const retirements = findRetirements(
      plan,
      target,
      artifact.bytes,
      artifact.modelArtifact,
      copy => isSpare(plan, source, target, copy, options),
    );
    if (!retirements) continue;
    const movedPerSecond = movedRate(plan, source, target, candidate);
    const price =
      candidate.loadPrice + retirementPrice(plan, retirements, options);
    if (!isWorthwhile(movedPerSecond, price, options)) continue;
    if (target.freeBytes >= artifact.bytes) {
      plan.load(target, artifact, `hot: +${movedPerSecond.toFixed(2)}/s`);
    }
    retireAll(
      plan,
      target,
      retirements.copies,
      `room-for ${artifact.artifact}`,
    );
    return true;
  }
  return false;
}

/**
 * Whether a copy may be retired for an extra copy. That holds for a copy that
 * was idle for long. In a burst no copy is idle, so for a runner far over its
 * slots a copy in use may be retired too if its other holders have a low load;
 * under a weaker condition they would be the next to refuse requests.
 */
function isSpare(
  plan: PlacementPlan,
  source: PlannedRunner,
  target: PlannedRunner,
  copy: PlacementCopy,
  options: PlacementOptions,
): boolean {
  if (copy.idleMs >= options.retireIdleMs) return true;
  if (source.load < options.severeLoad) return false;
  const others = plan.servingRunners(copy.artifact).filter(o => o !== target);
  const slotsEach = plan.slotsPerCopy(copy.artifact) / others.length;
  return others.every(
    other =>
      other.load + slotsEach / plan.slotsOf(other) < options.lowUtilization,
  );
}

/** Requests per second that would move from the source to the target. */
function movedRate(
  plan: PlacementPlan,
  source: PlannedRunner,
  target: PlannedRunner,
  {artifact, demandPerSecond}: Candidate,
): number {
  const copies = plan.holders(artifact.artifact).length;
  const newSharePerSecond =
    (demandPerSecond * source.demandFactor) / (copies + 1);
  const slotsForOne = plan.slotsFor(artifact, 1);
  const spareSlots = ((source.load - target.load) / 2) * plan.slotsOf(target);
  return Math.min(newSharePerSecond, spareSlots / slotsForOne);
}

function movePrice(
  {artifact, modelArtifact}: PlacementArtifact,
  options: PlacementOptions,
): number {
  return artifact === modelArtifact ? 1 : options.adapterMoveShare;
}

/** Cost of the retirements; free for artifacts no longer published. */
function retirementPrice(
  plan: PlacementPlan,
  retirements: Retirements,
  options: PlacementOptions,
): number {
  return sum(
    retirements.copies.map(({artifact}) => {
      const published = plan.artifacts.get(artifact);
      return published ? movePrice(published, options) : 0;
    }),
  );
}

function isWorthwhile(
  movedPerSecond: number,
  price: number,
  options: PlacementOptions,
): boolean {
  const horizonSeconds = options.horizonMs / MS_PER_SECOND;
  const gain = movedPerSecond * horizonSeconds * options.attainmentWeight;
  return gain > price * options.moveWeight * options.hysteresis;
}

function sum(values: number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
