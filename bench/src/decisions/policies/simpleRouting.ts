import type {
  RoutingDecision,
  RoutingRequest,
  RoutingView,
  RunnerView,
} from '@banyanfold/decisions';
import type {RoutingPolicy} from '../types.js';

const RETRY_AFTER_MS = 1_000;

/** Each holder in turn. */
export function roundRobinRouting(): RoutingPolicy {
  let turn = 0;
  return {
    route(view, request) {
      const holders = holdersOf(view, request);
      return routeTo(holders[turn++ % Math.max(1, holders.length)]);
    },
  };
}

/** The holder to which this entry has the fewest requests open. */
export function leastConnectionsRouting(): RoutingPolicy {
  return {
    route: (view, request) =>
      routeTo(leastLoaded(holdersOf(view, request), loadOf)),
  };
}

/**
 * Sticky-least-loaded with speculative updates, after Pandey et al.,
 * "Stateful Cache-Aware Routing for Distributed LLM Inference" (2025),
 * algorithm 1: a known prefix goes to the least loaded of the runners that
 * have it; an unknown one to the least loaded of all, and is recorded there
 * at once. The entry's view records it, and each report replaces the record.
 */
export function stickyLeastLoadedRouting(): RoutingPolicy {
  return {
    route(view, request) {
      const holders = holdersOf(view, request);
      const cached = holders.filter(({cachedPrefixes}) =>
        cachedPrefixes.has(request.prefixHash),
      );
      const candidates = cached.length > 0 ? cached : holders;
      return routeTo(leastLoaded(candidates, loadOf));
    },
  };
}

function holdersOf(view: RoutingView, request: RoutingRequest): RunnerView[] {
  return view.runners.filter(
    runner =>
      runner.reachable &&
      runner.artifacts.has(request.artifact) &&
      runner.artifacts.has(request.modelArtifact) &&
      !request.triedVmIds.includes(runner.vmId),
  );
}

function loadOf(runner: RunnerView): number {
  return runner.running + runner.queued + runner.ownUnreported;
}

function leastLoaded(
  runners: RunnerView[],
  load: (runner: RunnerView) => number,
): RunnerView | undefined {
  let best: RunnerView | undefined;
  for (const runner of runners) {
    if (!best || load(runner) < load(best)) best = runner;
  }
  return best;
}

function routeTo(runner: RunnerView | undefined): RoutingDecision {
  if (!runner) {
    return {
      kind: 'refuse',
      code: 'no-copy',
      retryAfterMs: RETRY_AFTER_MS,
      reasons: [],
    };
  }
  return {kind: 'route', vmId: runner.vmId, estimatedDelayMs: 0, reasons: []};
}
