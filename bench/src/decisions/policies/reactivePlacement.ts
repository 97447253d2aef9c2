import type {
  Move,
  PlacementArtifact,
  PlacementCopy,
  PlacementRunner,
  PlacementView,
} from '@banyanfold/decisions';
import type {PlacementPolicy, PolicyLimits} from '../types.js';

const LONG_QUEUE = 4;
const SECOND_MS = 1_000;

/**
 * The usual way without a planner: load what has no copy where most memory is
 * free, scale out what queues, and make room by the least recently used copy
 * that exists elsewhere too.
 */
export function reactivePlacement(limits: PolicyLimits): PlacementPolicy {
  return {
    place(view, nowMs) {
      const sinceMs = nowMs - view.lastLoadMs;
      const mayLoad =
        view.loadsInFlight < limits.loadsAtOnce &&
        sinceMs >= SECOND_MS / limits.loadsPerSecond;
      if (!mayLoad) return [];
      const wanted = findMissing(view) ?? findQueueing(view);
      return wanted ? makeCopy(view, wanted) : [];
    },
  };
}

function usable(view: PlacementView): PlacementRunner[] {
  return view.runners.filter(({reachable, leaving}) => reachable && !leaving);
}

function holds(runner: PlacementRunner, artifact: string): boolean {
  return runner.copies.some(copy => copy.artifact === artifact);
}

function serves(runner: PlacementRunner, artifact: string): boolean {
  return runner.copies.some(
    copy => copy.artifact === artifact && copy.state === 'held',
  );
}

function findMissing(view: PlacementView): PlacementArtifact | undefined {
  return view.artifacts
    .filter(({artifact}) => !usable(view).some(r => holds(r, artifact)))
    .filter(wanted => canPlace(view, wanted))
    .sort((a, b) => b.waiting - a.waiting)[0];
}

function canPlace(view: PlacementView, wanted: PlacementArtifact): boolean {
  return targetsFor(view, wanted).length > 0;
}

function findQueueing(view: PlacementView): PlacementArtifact | undefined {
  const longest = usable(view).sort((a, b) => b.queued - a.queued)[0];
  if (!longest || longest.queued < LONG_QUEUE) return undefined;
  return view.artifacts
    .filter(({artifact}) => holds(longest, artifact))
    .filter(wanted => canPlace(view, wanted))
    .sort((a, b) => b.demandPerSecond - a.demandPerSecond)[0];
}

function targetsFor(
  view: PlacementView,
  wanted: PlacementArtifact,
): PlacementRunner[] {
  return usable(view)
    .filter(runner => !holds(runner, wanted.artifact))
    .filter(
      runner =>
        wanted.artifact === wanted.modelArtifact ||
        serves(runner, wanted.modelArtifact),
    )
    .sort((a, b) => b.memoryFreeBytes - a.memoryFreeBytes);
}

function makeCopy(view: PlacementView, wanted: PlacementArtifact): Move[] {
  const targets = targetsFor(view, wanted);
  const roomy = targets.find(
    ({memoryFreeBytes}) => memoryFreeBytes >= wanted.bytes,
  );
  if (roomy) return [move('load', roomy, wanted.artifact, wanted.bytes, [])];
  for (const target of targets) {
    const victim = leastRecentlyUsed(view, target);
    if (!victim) continue;
    const reliesOn = otherCopyIds(view, target, victim.artifact);
    return [move('retire', target, victim.artifact, victim.bytes, reliesOn)];
  }
  return [];
}

function leastRecentlyUsed(
  view: PlacementView,
  target: PlacementRunner,
): PlacementCopy | undefined {
  const labelled = new Set(view.artifacts.map(({artifact}) => artifact));
  return target.copies
    .filter(({state}) => state === 'held')
    .filter(
      ({artifact}) =>
        !target.copies.some(copy => copy.artifact.startsWith(`${artifact}+`)),
    )
    .filter(
      ({artifact}) =>
        !labelled.has(artifact) ||
        otherCopyIds(view, target, artifact).length > 0,
    )
    .sort((a, b) => b.idleMs - a.idleMs)[0];
}

function otherCopyIds(
  view: PlacementView,
  target: PlacementRunner,
  artifact: string,
): string[] {
  return usable(view)
    .filter(({vmId}) => vmId !== target.vmId)
    .flatMap(({copies}) => copies)
    .filter(copy => copy.artifact === artifact && copy.state === 'held')
    .map(({copyId}) => copyId);
}

function move(
  kind: 'load' | 'retire',
  target: PlacementRunner,
  artifact: string,
  bytes: number,
  reliesOnCopyIds: string[],
): Move {
  return {
    kind,
    vmId: target.vmId,
    artifact,
    bytes,
    runnerRole: '',
    reliesOnCopyIds,
    reason: 'reactive',
  };
}
