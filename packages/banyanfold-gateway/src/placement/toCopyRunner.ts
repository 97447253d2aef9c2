import type {CopyRunner} from '@banyanfold/decisions';
import type {EngineSpec} from '../types.js';
import type {RunnerController} from './runnerController.js';

/**
 * Converts a runner to the input of the placement planner, without the requests
 * in progress.
 */
export function toCopyRunner(
  controller: RunnerController,
  engine: EngineSpec,
): Omit<CopyRunner, 'inUse'> {
  const adapterMb = Math.max(
    0,
    ...[...engine.models.values()].map(model => model.adapterMb),
  );
  return {
    runnerId: controller.registration.runnerId,
    failureDomain: controller.registration.failureDomain,
    slots: engine.slots,
    weightsMb: engine.weightsMb,
    reservedMb: engine.adapterSlots * adapterMb,
    models: [...controller.models],
    isBusy: controller.isBusy || !controller.isReady,
    isUnresponsive: controller.isUnresponsive,
    inMemory: controller.inMemory,
    onDisk: controller.onDisk,
    intendedModel: controller.intendedModel,
    loadingModel: controller.loadingModel,
    loadingLeftMs: controller.remainingMs,
  };
}
