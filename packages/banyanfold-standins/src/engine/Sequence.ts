import type {EngineStream} from './EngineStream.js';
import {textSeed} from './text.js';

/** A request in the scheduler. */
export class Sequence {
  /** Prompt tokens that are still to be taken in. */
  prefillLeftTokens: number;
  producedTokens = 0;
  isStarted = false;
  private readonly seed: number;

  constructor(
    readonly stream: EngineStream,
    /** Taken from the KV memory while it runs. */
    readonly kvBytes: number,
  ) {
    const {artifact, prompt} = stream.request;
    this.prefillLeftTokens = stream.usage.promptTokens;
    this.seed = textSeed(artifact, prompt);
  }

  get textSeed(): number {
    return this.seed;
  }

  get isDecoding(): boolean {
    return this.prefillLeftTokens === 0;
  }

  get isComplete(): boolean {
    return this.producedTokens >= this.stream.request.maxTokens;
  }
}
