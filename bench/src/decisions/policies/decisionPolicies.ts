import {
  decideAdmission,
  decidePlacement,
  decideRoute,
  DEFAULT_ADMISSION_OPTIONS,
  DEFAULT_PLACEMENT_OPTIONS,
  DEFAULT_QUEUE_OPTIONS,
  DEFAULT_ROUTE_OPTIONS,
  pickNext,
  type AdmissionOptions,
  type Move,
  type PlacementOptions,
  type QueueOptions,
  type Random,
  type RouteOptions,
} from '@banyanfold/decisions';
import type {
  AdmissionPolicy,
  PlacementPolicy,
  PolicyLimits,
  RoutingPolicy,
} from '../types.js';

/** Options of a version of our own; what is left out has its default. */
export interface VersionOptions {
  route?: Partial<RouteOptions>;
  admission?: Partial<AdmissionOptions>;
  queue?: Partial<QueueOptions>;
  placement?: Partial<PlacementOptions>;
}

/** The project's own routing. */
export function decisionRouting(
  random: Random,
  changed: VersionOptions = {},
): RoutingPolicy {
  const options = {...DEFAULT_ROUTE_OPTIONS, ...changed.route};
  return {
    route: (view, request, nowMs) =>
      decideRoute(view, request, nowMs, options, random),
  };
}

/** The project's own admission and queue order. */
export function decisionAdmission(
  changed: VersionOptions = {},
): AdmissionPolicy {
  const options = {...DEFAULT_ADMISSION_OPTIONS, ...changed.admission};
  const queueOptions = {...DEFAULT_QUEUE_OPTIONS, ...changed.queue};
  return {
    admit: (view, request, nowMs) =>
      decideAdmission(view, request, nowMs, options),
    pick: (queue, nowMs, {dispatchCount, ...measured}) =>
      pickNext(queue, nowMs, {...queueOptions, ...measured}, dispatchCount),
  };
}

/** The project's own placement. */
export function decisionPlacement(
  limits: PolicyLimits,
  changed: VersionOptions = {},
): PlacementPolicy {
  const options: PlacementOptions = {
    ...DEFAULT_PLACEMENT_OPTIONS,
    ...changed.placement,
    ...limits,
  };
  return {
    place(view, nowMs) {
      const {moves} = decidePlacement(view, nowMs, options);
      if (moves.some(({kind}) => kind === 'set-role')) {
        options.lastRoleChangeMs = nowMs;
      }
      return moves;
    },
  };
}

/** Placement that never moves anything. */
export const staticPlacement: PlacementPolicy = {place: (): Move[] => []};
