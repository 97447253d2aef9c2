import type {ModelSpec} from '../types.js';
import type {RunnerController} from './runnerController.js';

/** From the end of a load until entries hear of it: a report and an exchange. */
const TOLD_MS = 250;
/** Until there is room: idle copies go in 0.3 s, runs under way take seconds. */
const ROOM_MS = 1_200;
const ROOM_BEGUN_MS = 600;

/**
 * Until a model serves somewhere; one that nobody loads yet needs room first.
 *
 * @example copyInMs(spec, controllers) // 1970: 520 from disk, room, and to tell
 */
export function copyInMs(
  spec: ModelSpec,
  controllers: readonly RunnerController[],
): number {
  const loading = controllers.filter(each => each.loading === spec.name);
  if (loading.length > 0) {
    return Math.min(...loading.map(({leftMs}) => leftMs)) + TOLD_MS;
  }
  const loadMs = Math.min(
    spec.storeLoadMs,
    ...controllers.map(controller => loadMsOf(spec, controller)),
  );
  const isBegun = controllers.some(each => each.intendedModel === spec.name);
  return loadMs + TOLD_MS + (isBegun ? ROOM_BEGUN_MS : ROOM_MS);
}

/** How long a load there takes, from where the weights are. */
export function loadMsOf(
  spec: ModelSpec | undefined,
  {inMemory, onDisk}: RunnerController,
): number {
  if (!spec) return 0;
  if (inMemory.includes(spec.name)) return spec.memoryLoadMs;
  return onDisk.includes(spec.name) ? spec.diskLoadMs : spec.storeLoadMs;
}
