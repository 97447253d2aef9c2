import {DEFAULT_PLACEMENT_OPTIONS, type PlacementOptions} from './options.js';
import {changeRole} from './placement/changeRole.js';
import {FULL_LOAD, addHotCopies} from './placement/addHotCopies.js';
import {isRequested, placeOrphans} from './placement/placeOrphans.js';
import {PlacementPlan} from './placement/placementPlan.js';
import type {PlacementDecision, PlacementView} from './types.js';

const MS_PER_SECOND = 1000;

/**
 * Proposes moves: first a copy of each labelled artifact that has none, then
 * extra copies of hot ones where the gain is worth the price, then a change of
 * role. A copy is retired only for memory that one of these needs, and only
 * relying on held copies elsewhere. Agents judge each proposal; nothing here
 * commits memory.
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
  // Callers are refused at an overloaded runner, while nobody asks for the
  // other orphans yet. Turn about, so that neither keeps the other waiting.
  if (!blocked && isOverloadTurn(nowMs)) addHotCopies(plan, options, FULL_LOAD);
  const othersBlocked = placeOrphans(plan, options, o => !isRequested(o));
  // An extra copy would take the memory that is being released for an orphan,
  // which would stay out of reach while others are retired for it in turn.
  if (!othersBlocked) addHotCopies(plan, options, options.highUtilization);
  changeRole(plan, nowMs, options);
  return {moves: plan.moves, unplaced: plan.unplaced};
}

function isOverloadTurn(nowMs: number): boolean {
  return Math.floor(nowMs / MS_PER_SECOND) % 2 === 0;
}

/** How many loads the weight store takes now. */
function allowedLoads(
  view: PlacementView,
  nowMs: number,
  options: PlacementOptions,
): number {
  const atOnce = options.loadsAtOnce - view.loadsInFlight;
  const sinceMs = nowMs - view.lastLoadMs;
  const earned = Math.floor((sinceMs * options.loadsPerSecond) / MS_PER_SECOND);
  const burst = Math.max(1, Math.floor(options.loadsPerSecond));
  return Math.max(0, Math.min(atOnce, earned, burst));
}
