import type {Clock} from '@banyanfold/core';
import {ok} from 'neverthrow';
import {refuse, type Answer} from '../common/refusal.js';
import type {TruthRecord} from '../common/truth.js';
import {EngineStream, type InferenceRequest} from './EngineStream.js';
import type {ModelMemory} from './ModelMemory.js';
import type {PrefixCache} from './PrefixCache.js';
import {Scheduler} from './Scheduler.js';
import {Sequence} from './Sequence.js';
import {StreamExpiry} from './StreamExpiry.js';
import type {EngineOptions} from './options.js';
import {packPrompt, unpackPrompt, type KvExport} from './kvTransfer.js';
import {countTokens, textSeed} from './text.js';

export interface RequestRunnerOptions {
  clock: Clock;
  engine: EngineOptions;
  memory: ModelMemory;
  cache: PrefixCache;
  truth: TruthRecord;
  onChange: () => void;
}

export type CancelState = 'cancelled' | 'finished' | 'unknown';

/**
 * The model under an artifact; a model is its own.
 *
 * @example baseArtifact('claims@3+suva@1') // 'claims@3'
 */
export function baseArtifact(artifact: string): string {
  return artifact.split('+')[0] ?? artifact;
}

/** Runs requests and keeps their streams for a while after the end. */
export class RequestRunner {
  readonly scheduler: Scheduler;
  private readonly sequences = new Map<string, Sequence>();
  private readonly expiry: StreamExpiry<Sequence>;

  constructor(private readonly options: RequestRunnerOptions) {
    const {clock, engine, onChange} = options;
    this.expiry = new StreamExpiry(clock, engine.resumeWindowMs, sequence =>
      this.forget(sequence),
    );
    this.scheduler = new Scheduler(
      clock,
      {timeModel: engine, kvCapacityBytes: engine.kvCapacityBytes},
      {
        onStart: sequence => this.start(sequence),
        onPrefilled: sequence => this.cachePrompt(sequence),
        onComplete: sequence => this.complete(sequence),
        onChange,
      },
    );
  }

  submit(request: InferenceRequest): Answer<EngineStream> {
    if (!this.canServe(request.artifact)) {
      return refuse(404, 'model-not-loaded');
    }
    const promptTokens = countTokens(request.prompt);
    const {kvBytesPerToken, kvCapacityBytes} = this.options.engine;
    const kvBytes = (promptTokens + request.maxTokens) * kvBytesPerToken;
    if (kvBytes > kvCapacityBytes) return refuse(400, 'context-too-long');
    const usage = {promptTokens, completionTokens: 0, cachedTokens: 0};
    const createdAtMs = this.options.clock.wallMs();
    const stream = new EngineStream(request, usage, createdAtMs);
    const sequence = new Sequence(stream, kvBytes);
    this.sequences.set(request.requestId, sequence);
    this.record('request-received', sequence);
    this.scheduler.add(sequence);
    return ok(stream);
  }

  find(requestId: string): EngineStream | undefined {
    return this.sequences.get(requestId)?.stream;
  }

  cancel(requestId: string): CancelState {
    const sequence = this.sequences.get(requestId);
    if (!sequence) return 'unknown';
    const {stream} = sequence;
    if (stream.state === 'running') {
      this.scheduler.remove(sequence);
      this.record('request-cancelled', sequence);
      stream.end('cancelled');
      this.expiry.add(sequence);
    }
    return stream.state === 'finished' ? 'finished' : 'cancelled';
  }

  exportKv(requestId: string): Answer<KvExport> {
    const stream = this.find(requestId);
    if (!stream) return refuse(404, 'no-such-request');
    const {artifact, prompt} = stream.request;
    const tokens = stream.usage.promptTokens;
    const bytes = tokens * this.options.engine.kvBytesPerToken;
    const blob = packPrompt(prompt);
    return ok({requestId, artifact, tokens, bytes, blob});
  }

  /** Puts an exported prompt into the prefix cache. */
  importKv({artifact, blob, bytes}: KvExport): Answer<{bytes: number}> {
    const {cache, truth} = this.options;
    cache.store(artifact, unpackPrompt(blob));
    truth.add('kv-imported', {artifact, bytes});
    return ok({bytes});
  }

  isInUse(artifact: string): boolean {
    return this.scheduler.some(({stream}) => {
      const used = stream.request.artifact;
      return used === artifact || baseArtifact(used) === artifact;
    });
  }

  private canServe(artifact: string): boolean {
    const needed = [artifact, baseArtifact(artifact)];
    return needed.every(
      name => this.options.memory.get(name)?.state === 'loaded',
    );
  }

  private start(sequence: Sequence): number {
    const {request, usage} = sequence.stream;
    const cached = this.options.cache.lookUp(request.artifact, request.prompt);
    usage.cachedTokens = Math.min(cached, usage.promptTokens - 1);
    this.record('request-started', sequence);
    return usage.cachedTokens;
  }

  private cachePrompt({stream: {request}}: Sequence): void {
    this.options.cache.store(request.artifact, request.prompt);
  }

  private complete(sequence: Sequence): void {
    const {stream} = sequence;
    const {finishReason: reason, includeUsage} = stream.request;
    stream.add({kind: 'finish', reason});
    if (includeUsage) stream.add({kind: 'usage'});
    stream.add({kind: 'done'});
    this.record('request-finished', sequence);
    stream.end('finished');
    this.expiry.add(sequence);
  }

  private forget(sequence: Sequence): void {
    const {requestId} = sequence.stream.request;
    if (this.sequences.get(requestId) !== sequence) return;
    this.sequences.delete(requestId);
  }

  private record(kind: string, {stream, isStarted}: Sequence): void {
    const {requestId, artifact, priority, prompt} = stream.request;
    const {completionTokens: tokens, cachedTokens} = stream.usage;
    const promptSeed = textSeed(artifact, prompt);
    const ids = {requestId, artifact, promptSeed};
    const fields = {...ids, priority, tokens, cachedTokens};
    this.options.truth.add(kind, {...fields, isStarted});
  }
}
