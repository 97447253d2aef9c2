import {DEFAULT_PLACEMENT_OPTIONS, type PlacementOptions} from './options.js';
import {changeRole} from './placement/changeRole.js';
import {FULL_LOAD, addHotCopies} from './placement/addHotCopies.js';
import {isRequested, placeOrphans} from './placement/placeOrphans.js';
import {PlacementPlan} from './placement/placementPlan.js';
import type {PlacementDecision, PlacementView} from './types.js';

const MS_PER_SECOND = 1000;

/**
 * Proposes moves: first a copy of each published artifact that has none, then
 * extra copies of hot ones whose gain exceeds their cost, then a change of
 * role. A copy is retired only to free memory for one of these, and only if
 * held copies elsewhere can be relied on. Agents accept or reject each
 * proposal; the decision itself commits no memory.
 *
 * @example
 * for (const move of decidePlacement(view, clock.nowMs()).moves) propose(move);
 */
export function decidePlacement(
  view: PlacementView,
  nowMs: number,
  options: PlacementOptions = DEFAULT_PLACEMENT_OPTIONS,
): PlacementDecision {
  const plan = new PlacementPlan(
    view,
    allowedLoads(view, nowMs, options),
    options,
  );
  const blocked = placeOrphans(plan, options, isRequested);
  // An overloaded runner refuses callers, while nobody requests the remaining
  // orphans yet. The two take turns, so that neither delays the other for long.
  if (!blocked && isOverloadTurn(nowMs)) addHotCopies(plan, options, FULL_LOAD);
  const othersBlocked = placeOrphans(plan, options, o => !isRequested(o));
  // An extra copy would take the memory that is being released for an orphan,
  // and more copies would be retired for the orphan in turn.
  if (!othersBlocked) addHotCopies(plan, options, options.highUtilization);
  changeRole(plan, nowMs, options);
  return {moves: plan.moves, unplaced: plan.unplaced};
}

function isOverloadTurn(nowMs: number): boolean {
  return Math.floor(nowMs / MS_PER_SECOND) % 2 === 0;
}

/** Number of loads that the weight store accepts now. */
function allowedLoads(
  view: PlacementView,
  nowMs: number,
  options: PlacementOptions,
): number {
  const atOnce = options.loadsAtOnce - view.loadsInFlight;
  const sinceMs = nowMs - view.lastLoadMs;
  const accrued = Math.floor(
    (sinceMs * options.loadsPerSecond) / MS_PER_SECOND,
  );
  const burst = Math.max(1, Math.floor(options.loadsPerSecond));
  return Math.max(0, Math.min(atOnce, accrued, burst));
}
