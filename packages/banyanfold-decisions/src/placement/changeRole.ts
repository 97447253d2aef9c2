import type {PlacementOptions} from '../options.js';
import type {PlacementPlan, PlannedRunner} from './placementPlan.js';

interface RoleLoad {
  runnerRole: string;
  runners: PlannedRunner[];
  /** Mean queue length over the runners of the role. */
  queued: number;
}

const IDLE_QUEUED = 0.5;

/** Moves one runner from an idle role to an overloaded one. */
export function changeRole(
  plan: PlacementPlan,
  nowMs: number,
  options: PlacementOptions,
): void {
  if (nowMs - options.lastRoleChangeMs < options.roleHoldMs) return;
  const roles = loadByRole(plan);
  const overloaded = roles.at(-1);
  if (!overloaded || overloaded.queued < options.drowningQueued) return;
  const donor = roles.find(
    ({runners, queued}) =>
      queued < IDLE_QUEUED && runners.length > options.minRunnersPerRole,
  );
  if (!donor || donor === overloaded) return;
  const chosen = [...donor.runners].sort((a, b) => a.load - b.load)[0]!;
  plan.setRole(
    chosen,
    overloaded.runnerRole,
    `${overloaded.runnerRole} queues ${overloaded.queued.toFixed(1)} a runner`,
  );
}

/** Returns the roles with their mean queue lengths, shortest first. */
function loadByRole(plan: PlacementPlan): RoleLoad[] {
  const byRole = new Map<string, PlannedRunner[]>();
  for (const planned of plan.runners.values()) {
    const {runnerRole} = planned.runner;
    byRole.set(runnerRole, [...(byRole.get(runnerRole) ?? []), planned]);
  }
  return [...byRole]
    .map(([runnerRole, runners]) => ({
      runnerRole,
      runners,
      queued: meanQueued(runners),
    }))
    .sort((a, b) => a.queued - b.queued);
}

function meanQueued(runners: PlannedRunner[]): number {
  const sum = runners.reduce((total, {runner}) => total + runner.queued, 0);
  return sum / runners.length;
}
