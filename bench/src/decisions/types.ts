import type {
  AdmissionDecision,
  AdmissionRequest,
  AdmissionView,
  Move,
  PlacementView,
  QueueDecision,
  QueuedRequest,
  Random,
  RoutingDecision,
  RoutingRequest,
  RoutingView,
} from '@banyanfold/decisions';

/** How requests find a runner. */
export interface RoutingPolicy {
  route(
    view: RoutingView,
    request: RoutingRequest,
    nowMs: number,
  ): RoutingDecision;
}

/** How a runner takes requests in, and in which order. */
export interface AdmissionPolicy {
  admit(
    view: AdmissionView,
    request: AdmissionRequest,
    nowMs: number,
  ): AdmissionDecision;
  pick(
    queue: readonly QueuedRequest[],
    nowMs: number,
    measured: {
      firstTokenMs: number;
      dispatchIntervalMs: number;
      kvFreeBytes: number;
      dispatchCount: number;
    },
  ): QueueDecision;
}

export interface PlacementPolicy {
  place(view: PlacementView, nowMs: number): Move[];
}

/** One row of the comparison; made anew for each run. */
export interface Policy {
  name: string;
  createRouting(random: Random): RoutingPolicy;
  admission: AdmissionPolicy;
  createPlacement(limits: PolicyLimits): PlacementPolicy;
}

/** What a deployment tells its placement. */
export interface PolicyLimits {
  loadsPerSecond: number;
  loadsAtOnce: number;
  attainmentWeight: number;
  moveWeight: number;
}
