import type {PlannedRunner} from './fleetCopies.js';
import type {CopyModel} from './types.js';

/** Time to load a model at a runner, by where its weights are. */
export function loadMsOf(model: CopyModel, {runner}: PlannedRunner): number {
  const {
    storeLoadMs,
    diskLoadMs = storeLoadMs,
    memoryLoadMs = diskLoadMs,
  } = model;
  if (runner.inMemory.includes(model.name)) return memoryLoadMs;
  return runner.onDisk.includes(model.name) ? diskLoadMs : storeLoadMs;
}
