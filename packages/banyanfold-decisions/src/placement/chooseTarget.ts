import type {PlacementArtifact} from '../types.js';
import type {PlacementPlan, PlannedRunner} from './placementPlan.js';

/** Penalties of a target; 1 is the load of one full runner. */
const SAME_DOMAIN_COST = 1;
const OTHER_ROLE_COST = 1.5;
const FULLNESS_COST = 0.25;

/** Whether a runner could serve the artifact, regardless of its free memory. */
export function isEligible(
  target: PlannedRunner,
  artifact: PlacementArtifact,
): boolean {
  if (target.copies.has(artifact.artifact)) return false;
  if (artifact.modelArtifact === artifact.artifact) return true;
  return target.copies.get(artifact.modelArtifact)?.state === 'held';
}

/** A runner that can take an artifact; a lower cost is better. */
export interface Target {
  target: PlannedRunner;
  cost: number;
}

/** Runners that can take the artifact, best first; ignores free memory. */
export function rankTargets(
  plan: PlacementPlan,
  artifact: PlacementArtifact,
): Target[] {
  const domains = new Set(
    plan.holders(artifact.artifact).map(({runner}) => runner.failureDomain),
  );
  return [...plan.runners.values()]
    .filter(target => isEligible(target, artifact))
    .map(target => ({target, cost: costOf(target, artifact, domains)}))
    .sort((a, b) => a.cost - b.cost || compareVmIds(a.target, b.target));
}

function costOf(
  target: PlannedRunner,
  artifact: PlacementArtifact,
  domains: ReadonlySet<string>,
): number {
  const {runner} = target;
  let cost = target.load;
  if (domains.has(runner.failureDomain)) cost += SAME_DOMAIN_COST;
  if (artifact.runnerRole !== '' && runner.runnerRole !== artifact.runnerRole) {
    cost += OTHER_ROLE_COST;
  }
  const freeShare = target.freeBytes / Math.max(1, runner.memoryCapacityBytes);
  return cost + (1 - freeShare) * FULLNESS_COST;
}

function compareVmIds(a: PlannedRunner, b: PlannedRunner): number {
  return a.runner.vmId < b.runner.vmId ? -1 : 1;
}
