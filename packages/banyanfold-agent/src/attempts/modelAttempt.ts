import type {ServerResponse} from 'node:http';
import type {BodyLimits} from '@banyanfold/core';
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

/** A caller's request as received from the entry. */
export interface ModelAttemptInput {
  path: string;
  headers: AttemptHeaders;
  /** The caller's JSON, with `model` set to the artifact. */
  body: {stream?: unknown; [field: string]: unknown};
  res: ServerResponse;
}

/** Runs one attempt at the engine, from its dispatch to its end. */
export class ModelAttempt {
  private readonly abort = new AbortController();
  private readonly attemptId: string;
  private readonly ids: {engineRequestId: string; callerRequestId: string};
  private readonly buffer: StreamBuffer | WholeResponseBuffer;
  private startedMs = 0;
  private firstEventMs: number | undefined;
  private isFinished = false;
  /** Whether the engine has responded, and so has received the request. */
  private engineResponded = false;

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
    this.buffer =
      body.stream === true
        ? this.createStreamBuffer()
        : this.createWholeBuffer();
  }

  private get bodyLimits(): BodyLimits {
    const {clock, settings} = this.context;
    const {maxAnswerBytes: maxBytes, engine} = settings;
    return {clock, maxBytes, timeoutMs: engine.wholeAnswerTimeoutMs};
  }

  /** Sends the request; its slot and KV memory must be reserved already. */
  async run(): Promise<void> {
    const {registry, clock, engine} = this.context;
    const {path, headers, body, res} = this.input;
    this.startedMs = clock.nowMs();
    registry.retainResponse(this.attemptId, this.buffer);
    registry.onSeal(this.attemptId, () => this.abort.abort());
    if (this.buffer instanceof WholeResponseBuffer) this.buffer.attach(res, 0);
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
      this.finishNotRun(engineUnreachable(sent.error.message));
      return;
    }
    const response = sent.unwrapOr(undefined);
    this.engineResponded = response !== undefined;
    if (response && response.statusCode >= FIRST_ERROR_STATUS) {
      const refusal = await readEngineRefusal(response, this.bodyLimits);
      if (refusal.outcome === 'not-run') this.finishNotRun(refusal);
      else await this.finishUnknown(refusal);
      return;
    }
    const {buffer} = this;
    const isComplete =
      buffer instanceof StreamBuffer
        ? await this.readStream(buffer, response)
        : await this.readWholeResponse(buffer, response);
    if (isComplete) this.finishComplete();
    else await this.finishUnknown(ENGINE_RESPONSE_LOST);
  }

  /**
   * Ends an attempt whose outcome is unknown. The slot is released once the
   * engine no longer runs it, and the KV memory once the engine can't start it
   * later either.
   */
  async finishUnknown(refusal: Refusal): Promise<void> {
    if (this.isFinished) return;
    this.isFinished = true;
    this.abort.abort();
    this.refuseReader(refusal);
    this.context.registry.finish(this.attemptId);
    const {canceller, ledger} = this.context;
    const state = await canceller.cancel(this.ids.engineRequestId);
    this.finish(refusal.code);
    if (state === 'unknown' && !this.engineResponded) {
      await canceller.cancelAfterLateBound(this.ids.engineRequestId);
    }
    ledger.budget.releaseKv(this.attemptId);
  }

  /** Reads a stream to its end marker; false if that was not reached. */
  private async readStream(
    buffer: StreamBuffer,
    response: EngineResponse | undefined,
  ): Promise<boolean> {
    const {settings, engine, clock, logger, metrics} = this.context;
    const attach = () => buffer.attachOnce(this.input.res);
    // A response that was lost before its first byte can still be resumed: if
    // the engine received the request, it knows the stream by its id. In that
    // case no headers are sent before the first event, so that a loss can still
    // be reported.
    if (response) attach();
    const streamReader = new EngineStreamReader({
      engine,
      clock,
      logger,
      metrics,
      attemptId: this.attemptId,
      ...this.ids,
      sink: buffer,
      signal: this.abort.signal,
      maxEventMs: settings.engine.wholeAnswerTimeoutMs,
      maxResumes: settings.engine.maxResumes,
      retryDelayMs: settings.engine.retryDelayMs,
      onFirstEvent: () => {
        attach();
        this.recordFirstEvent();
      },
    });
    const isComplete = await streamReader.run(response);
    if (isComplete) buffer.complete();
    return isComplete;
  }

  private async readWholeResponse(
    buffer: WholeResponseBuffer,
    response: EngineResponse | undefined,
  ): Promise<boolean> {
    const body = response && (await readWholeBody(response, this.bodyLimits));
    const callerBody = body && replaceResponseId(body, this.ids);
    if (!callerBody) {
      const fault = body ? 'foreign-whole' : 'cut-whole';
      this.context.metrics.count('agent_stream_faults_total', {fault});
      return false;
    }
    buffer.complete({
      status: response.statusCode,
      headers: {'content-type': 'application/json'},
      body: callerBody,
    });
    return true;
  }

  /** Ends an attempt that the engine didn't accept; frees its slot at once. */
  private finishNotRun(refusal: Refusal): void {
    this.isFinished = true;
    this.refuseReader(refusal);
    this.context.registry.refuse(this.attemptId);
    this.context.ledger.budget.releaseKv(this.attemptId);
    this.releaseSlot();
    this.log(refusal.code);
  }

  private finishComplete(): void {
    this.isFinished = true;
    const {clock, recordPrefix, recordServed, registry} = this.context;
    const {prefixHash, artifact} = this.input.headers;
    recordPrefix(prefixHash);
    recordServed(artifact);
    registry.finish(this.attemptId);
    this.context.ledger.budget.releaseKv(this.attemptId);
    this.finish('complete', clock.nowMs() - this.startedMs);
  }

  private finish(result: string, serviceTimeMs?: number): void {
    const {registry, clock, settings} = this.context;
    this.releaseSlot(serviceTimeMs);
    clock.setTimer(settings.resumeWindowMs, () =>
      registry.dropResponse(this.attemptId),
    );
    this.log(result, serviceTimeMs);
  }

  private releaseSlot(serviceTimeMs?: number): void {
    const {ledger, queue} = this.context;
    ledger.endUse(this.input.headers.artifact);
    queue.release(this.attemptId, serviceTimeMs);
  }

  /** Sends the refusal, or closes the connection if the response has begun. */
  private refuseReader(refusal: Refusal): void {
    const reader = this.buffer.fail() ?? this.input.res;
    const load = this.context.loadHeader();
    sendRefusal(reader, refusal, {attemptId: this.attemptId, load});
  }

  private recordFirstEvent(): void {
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

  private createStreamBuffer(): StreamBuffer {
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

  private createWholeBuffer(): WholeResponseBuffer {
    const {clock, settings} = this.context;
    return new WholeResponseBuffer({
      clock,
      resumeWindowMs: settings.resumeWindowMs,
      commonHeaders: () => commonHeaders(this.attemptId, this.context),
      onAbandoned: () => this.abort.abort(),
    });
  }
}
