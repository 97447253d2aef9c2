import type {ServerResponse} from 'node:http';
import type {EngineResponse} from '../engine/engineClient.js';
import {commonHeaders, writeStreamHeaders} from './responseHeaders.js';
import type {AttemptContext} from './attemptContext.js';
import {engineRequestId, type AttemptHeaders} from './attemptHeaders.js';
import {
  ENGINE_RESPONSE_LOST,
  readEngineRefusal,
  engineUnreachable,
} from './engineRejection.js';
import {sendRefusal, type Refusal} from './refusal.js';
import {EngineStreamReader} from './engineStreamReader.js';
import {StreamBuffer} from './streamBuffer.js';
import {readWholeBody, replaceResponseId} from './wholeResponse.js';
import {WholeResponseBuffer} from './wholeResponseBuffer.js';

const FIRST_ERROR_STATUS = 400;

/** A caller's request as it came. */
export interface ModelAttemptInput {
  path: string;
  headers: AttemptHeaders;
  /** The caller's JSON with the artifact as its model. */
  body: {stream?: unknown; [field: string]: unknown};
  res: ServerResponse;
}

/** One attempt at the engine, from its slot to its end. */
export class ModelAttempt {
  private readonly abort = new AbortController();
  private readonly attemptId: string;
  private readonly ids: {engineRequestId: string; callerRequestId: string};
  private readonly record: StreamBuffer | WholeResponseBuffer;
  private startedMs = 0;
  private firstEventMs: number | undefined;
  private isOver = false;
  /** Whether the engine is known to have got the request. */
  private wasAnswered = false;

  constructor(
    private readonly context: AttemptContext,
    private readonly input: ModelAttemptInput,
  ) {
    const {headers, body} = input;
    this.attemptId = headers.attemptId;
    this.ids = {
      engineRequestId: engineRequestId(headers),
      callerRequestId: headers.requestId,
    };
    this.record =
      body.stream === true ? this.streamRecord() : this.wholeRecord();
  }

  /** Sends the request; the slot and the memory are ours. */
  async run(): Promise<void> {
    const {registry, clock, engine} = this.context;
    const {path, headers, body, res} = this.input;
    this.startedMs = clock.nowMs();
    registry.retainResponse(this.attemptId, this.record);
    registry.onSeal(this.attemptId, () => this.abort.abort());
    if (this.record instanceof WholeResponseBuffer) this.record.attach(res, 0);
    const sent = await engine.send({
      path,
      engineRequestId: this.ids.engineRequestId,
      priority: headers.priority,
      body: JSON.stringify(body),
      stream: body.stream === true,
      signal: this.abort.signal,
      mustNotRepeat: headers.idempotencyKey !== undefined,
    });
    if (sent.isErr() && sent.error.code === 'not-sent') {
      this.endNotRun(engineUnreachable(sent.error.message));
      return;
    }
    const response = sent.unwrapOr(undefined);
    this.wasAnswered = response !== undefined;
    if (response && response.statusCode >= FIRST_ERROR_STATUS) {
      const refusal = await readEngineRefusal(response);
      if (refusal.outcome === 'not-run') this.endNotRun(refusal);
      else await this.finishUnknown(refusal);
      return;
    }
    const {record} = this;
    const isWhole =
      record instanceof StreamBuffer
        ? await this.readStream(record, response)
        : await this.readWhole(record, response);
    if (isWhole) this.endWell();
    else await this.finishUnknown(ENGINE_RESPONSE_LOST);
  }

  /**
   * It may have run, and nobody can say. The slot stays taken until the engine
   * runs it no more, its KV memory until it can't run it later either.
   */
  async finishUnknown(refusal: Refusal): Promise<void> {
    if (this.isOver) return;
    this.isOver = true;
    this.abort.abort();
    this.tellReader(refusal);
    this.context.registry.finish(this.attemptId);
    const {canceller, ledger} = this.context;
    const state = await canceller.cancel(this.ids.engineRequestId);
    this.end(refusal.code);
    if (state === 'unknown' && !this.wasAnswered) {
      await canceller.cancelAfterLateBound(this.ids.engineRequestId);
    }
    ledger.budget.releaseKv(this.attemptId);
  }

  /** Reads a stream to its true end; false when that was not reached. */
  private async readStream(
    record: StreamBuffer,
    response: EngineResponse | undefined,
  ): Promise<boolean> {
    const {settings, engine, clock, logger, metrics} = this.context;
    const attach = () => record.attachOnce(this.input.res);
    // An answer that was lost before its first byte can still be read: the
    // engine knows the stream by its id if it ever got the request. Until it
    // does, no head is sent, so that the entry can be told that it was lost.
    if (response) attach();
    const pump = new EngineStreamReader({
      engine,
      clock,
      logger,
      metrics,
      attemptId: this.attemptId,
      ...this.ids,
      sink: record,
      signal: this.abort.signal,
      maxResumes: settings.engine.maxResumes,
      retryDelayMs: settings.engine.retryDelayMs,
      onFirstEvent: () => {
        attach();
        this.noteFirstEvent();
      },
    });
    const isWhole = await pump.run(response);
    if (isWhole) record.complete();
    return isWhole;
  }

  private async readWhole(
    record: WholeResponseBuffer,
    response: EngineResponse | undefined,
  ): Promise<boolean> {
    const body = response && (await readWholeBody(response));
    const answer = body && replaceResponseId(body, this.ids);
    if (!answer) {
      const fault = body ? 'foreign-whole' : 'cut-whole';
      this.context.metrics.count('agent_stream_faults_total', {fault});
      return false;
    }
    record.complete({
      status: response.statusCode,
      headers: {'content-type': 'application/json'},
      body: answer,
    });
    return true;
  }

  /** Refused before the engine took it: the slot is free at once. */
  private endNotRun(refusal: Refusal): void {
    this.isOver = true;
    this.tellReader(refusal);
    this.context.registry.refuse(this.attemptId);
    this.context.ledger.budget.releaseKv(this.attemptId);
    this.leaveSlot();
    this.log(refusal.code);
  }

  private endWell(): void {
    this.isOver = true;
    const {
      clock,
      recordPrefix: notePrefix,
      recordServed: noteServed,
      registry,
    } = this.context;
    const {prefixHash, artifact} = this.input.headers;
    notePrefix(prefixHash);
    noteServed(artifact);
    registry.finish(this.attemptId);
    this.context.ledger.budget.releaseKv(this.attemptId);
    this.end('complete', clock.nowMs() - this.startedMs);
  }

  private end(result: string, serviceTimeMs?: number): void {
    const {registry, clock, settings} = this.context;
    this.leaveSlot(serviceTimeMs);
    clock.setTimer(settings.resumeWindowMs, () =>
      registry.dropResponse(this.attemptId),
    );
    this.log(result, serviceTimeMs);
  }

  private leaveSlot(serviceTimeMs?: number): void {
    const {ledger, queue} = this.context;
    ledger.endUse(this.input.headers.artifact);
    queue.release(this.attemptId, serviceTimeMs);
  }

  /** A reader that has part of the answer is cut off, visibly. */
  private tellReader(refusal: Refusal): void {
    const reader = this.record.fail() ?? this.input.res;
    const load = this.context.loadHeader();
    sendRefusal(reader, refusal, {attemptId: this.attemptId, load});
  }

  private noteFirstEvent(): void {
    this.firstEventMs = this.context.clock.nowMs() - this.startedMs;
    const {priority} = this.input.headers;
    this.context.queue.recordFirstToken(this.firstEventMs, priority);
    this.context.metrics.observeMs('agent_first_token_ms', this.firstEventMs);
  }

  private log(result: string, serviceTimeMs?: number): void {
    this.context.metrics.count('agent_attempts_total', {result});
    this.context.logger.info('attempt', {
      attempt: this.attemptId,
      request: this.input.headers.requestId,
      artifact: this.input.headers.artifact,
      result,
      firstTokenMs: this.firstEventMs && Math.round(this.firstEventMs),
      serviceMs: serviceTimeMs && Math.round(serviceTimeMs),
    });
  }

  private streamRecord(): StreamBuffer {
    const {clock, settings} = this.context;
    return new StreamBuffer({
      attemptId: this.attemptId,
      clock,
      resumeWindowMs: settings.resumeWindowMs,
      maxBytes: settings.retention.bytesPerAttempt,
      writeHead: res => writeStreamHeaders(res, this.attemptId, this.context),
      onAbandoned: () => this.abort.abort(),
    });
  }

  private wholeRecord(): WholeResponseBuffer {
    const {clock, settings} = this.context;
    return new WholeResponseBuffer({
      clock,
      resumeWindowMs: settings.resumeWindowMs,
      commonHeaders: () => commonHeaders(this.attemptId, this.context),
      onAbandoned: () => this.abort.abort(),
    });
  }
}
