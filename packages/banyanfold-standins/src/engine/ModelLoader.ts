import {sleep, type Clock} from '@banyanfold/core';
import {ok} from 'neverthrow';
import {refuse, type Answer} from '../common/refusal.js';
import type {TruthRecord} from '../common/truth.js';
import type {WeightSource} from '../weightStore/WeightStoreState.js';
import type {HeldModel, ModelMemory} from './ModelMemory.js';

export interface ModelLoaderOptions {
  clock: Clock;
  memory: ModelMemory;
  truth: TruthRecord;
  weights: WeightSource;
  unloadMs: number;
  /** Whether a request, waiting or running, needs the artifact. */
  isInUse: (artifact: string) => boolean;
  /** Called when an unloaded artifact has left the memory. */
  onFreed: (artifact: string) => void;
  /** Resolves when the engine is not paused. */
  whenAwake: () => Promise<void>;
}

/** Brings models and adapters into memory and takes them out again. */
export class ModelLoader {
  private readonly draining = new Set<HeldModel>();

  constructor(private readonly options: ModelLoaderOptions) {}

  load(artifact: string, bytes: number): Answer<void> {
    const {memory} = this.options;
    const held = memory.get(artifact);
    if (held?.state === 'unloading') return refuse(409, 'unloading');
    if (held) return ok(undefined);
    if (!memory.commit(artifact, bytes, 'loading')) {
      return refuse(507, 'out-of-memory');
    }
    const model = memory.get(artifact);
    if (model) void this.fetch(model);
    return ok(undefined);
  }

  unload(artifact: string): Answer<void> {
    const {memory} = this.options;
    const model = memory.get(artifact);
    if (!model || model.state === 'unloading') return ok(undefined);
    memory.setState(artifact, 'unloading');
    this.draining.add(model);
    this.freeDrained();
    return ok(undefined);
  }

  /** Frees what is to be unloaded and that no request needs any more. */
  freeDrained(): void {
    for (const model of this.draining) {
      if (this.options.isInUse(model.artifact)) continue;
      this.draining.delete(model);
      void this.free(model);
    }
  }

  private async free(model: HeldModel): Promise<void> {
    const {clock, memory, unloadMs, onFreed, whenAwake} = this.options;
    await sleep(clock, unloadMs);
    await whenAwake();
    memory.release(model.artifact);
    onFreed(model.artifact);
  }

  private async fetch(model: HeldModel): Promise<void> {
    const {clock, memory, truth, weights, whenAwake} = this.options;
    const {artifact, bytes} = model;
    const grant = await weights.beginLoad(artifact, bytes);
    if (grant.isErr()) {
      truth.add('load-refused', {artifact, code: grant.error.code});
      if (model.state === 'loading') memory.release(artifact);
      return;
    }
    await sleep(clock, grant.value.durationMs);
    await whenAwake();
    if (model.state === 'loading') memory.setState(artifact, 'loaded');
    await weights.endLoad(grant.value.loadId);
  }
}

/** Weights that are always there, at a fixed speed. */
export function localWeightSource(bytesPerSecond: number): WeightSource {
  const msPerByte = 1000 / bytesPerSecond;
  return {
    beginLoad: async (artifact, bytes) =>
      ok({loadId: artifact, durationMs: bytes * msPerByte}),
    endLoad: async () => {},
  };
}
