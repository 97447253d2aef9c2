import type {ModelSpec} from '../types.js';
import type {RunnerController} from './runnerController.js';

/** From the end of a load until entries hear of it: a report and an exchange. */
const PROPAGATION_MS = 250;
/** Until there is room: idle copies go in 0.3 s, runs under way take seconds. */
const MAKE_ROOM_MS = 1_200;
const MAKE_ROOM_STARTED_MS = 600;

/**
 * Until a model serves somewhere; one that nobody loads yet needs room first.
 *
 * @example copyInMs(spec, controllers) // 1970: 520 from disk, room, and to tell
 */
export function estimateCopyDelayMs(
  spec: ModelSpec,
  controllers: readonly RunnerController[],
): number {
  const loading = controllers.filter(each => each.loadingModel === spec.name);
  if (loading.length > 0) {
    return (
      Math.min(...loading.map(({remainingMs: leftMs}) => leftMs)) +
      PROPAGATION_MS
    );
  }
  const loadMs = Math.min(
    spec.storeLoadMs,
    ...controllers.map(controller => estimateLoadMs(spec, controller)),
  );
  const isRoomBeingMade = controllers.some(
    each => each.intendedModel === spec.name,
  );
  return (
    loadMs +
    PROPAGATION_MS +
    (isRoomBeingMade ? MAKE_ROOM_STARTED_MS : MAKE_ROOM_MS)
  );
}

/** How long a load there takes, from where the weights are. */
export function estimateLoadMs(
  spec: ModelSpec | undefined,
  {inMemory, onDisk}: RunnerController,
): number {
  if (!spec) return 0;
  if (inMemory.includes(spec.name)) return spec.memoryLoadMs;
  return onDisk.includes(spec.name) ? spec.diskLoadMs : spec.storeLoadMs;
}
