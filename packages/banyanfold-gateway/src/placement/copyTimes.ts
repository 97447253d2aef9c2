import type {ModelSpec} from '../types.js';
import type {RunnerController} from './runnerController.js';

/**
 * Time from the end of a load until entries know of it: a report and an
 * exchange.
 */
const PROPAGATION_MS = 250;
/**
 * Time to free memory: idle copies are evicted in 0.3 s, requests in progress
 * take seconds.
 */
const MAKE_ROOM_MS = 1_200;
const MAKE_ROOM_STARTED_MS = 600;

/**
 * Estimates the time until a model serves somewhere. A model that no runner is
 * loading yet needs memory first.
 *
 * @example estimateCopyDelayMs(spec, controllers) // 1970: 520 from disk, then freeing memory and propagation
 */
export function estimateCopyDelayMs(
  spec: ModelSpec,
  controllers: readonly RunnerController[],
): number {
  const loading = controllers.filter(each => each.loadingModel === spec.name);
  if (loading.length > 0) {
    return (
      Math.min(...loading.map(({remainingMs}) => remainingMs)) + PROPAGATION_MS
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

/**
 * Estimates the time of a load on a runner, depending on where the weights are.
 */
export function estimateLoadMs(
  spec: ModelSpec | undefined,
  {inMemory, onDisk}: RunnerController,
): number {
  if (!spec) return 0;
  if (inMemory.includes(spec.name)) return spec.memoryLoadMs;
  return onDisk.includes(spec.name) ? spec.diskLoadMs : spec.storeLoadMs;
}
