import type {ServerResponse} from 'node:http';
import {HEADERS} from '@banyanfold/protocol';
import type {EngineResponse} from '../engine/engineClient.js';
import {toCallerId} from '../engine/streamVerifier.js';
import {engineRequestId, type AttemptHeaders} from './attemptHeaders.js';
import type {AttemptContext} from './attemptContext.js';
import {sendRefusal, type Refusal} from './refusal.js';
import {StreamPump} from './streamPump.js';
import {StreamRecord} from './streamRecord.js';
import {WholeRecord} from './wholeRecord.js';

const FIRST_ERROR_STATUS = 400;
const ENGINE_RETRY_AFTER_MS = 1_000;
const MAX_MESSAGE_CHARS = 500;

type NotRunCode =
  'engine-unreachable' | 'not-held' | 'busy' | 'engine-rejected';

/**
 * Statuses by which an engine says that it did not take the request. After any
 * other error status the request may have run.
 */
const NOT_RUN_CODE_OF_STATUS: Record<number, NotRunCode> = {
  400: 'engine-rejected',
  404: 'not-held',
  413: 'engine-rejected',
  422: 'engine-rejected',
  429: 'busy',
};

const ANSWER_LOST: Refusal = {
  code: 'answer-lost',
  outcome: 'unknown',
  message: "the engine's answer was lost or is not this request's",
};

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
  private readonly engineId: string;
  private readonly attemptId: string;
  private startedMs = 0;
  private firstEventMs: number | undefined;

  constructor(
    private readonly context: AttemptContext,
    private readonly input: ModelAttemptInput,
  ) {
    this.attemptId = input.headers.attemptId;
    this.engineId = engineRequestId(input.headers);
  }

  /** Sends the request; the slot and the memory are ours. */
  async run(): Promise<void> {
    const {clock, engine} = this.context;
    const {path, headers, body} = this.input;
    this.startedMs = clock.nowMs();
    const stream = body.stream === true;
    const record = stream ? this.streamRecord() : this.wholeRecord();
    this.context.registry.keepAnswer(this.attemptId, record);
    this.context.registry.onSeal(this.attemptId, () => this.abort.abort());
    if (record instanceof WholeRecord) record.attach(this.input.res, 0);
    const sent = await engine.send({
      path,
      engineRequestId: this.engineId,
      priority: headers.priority,
      body: JSON.stringify(body),
      stream,
      signal: this.abort.signal,
    });
    if (sent.isErr() && sent.error.code === 'not-sent') {
      this.refuseNotRun('engine-unreachable', sent.error.message);
      return;
    }
    const response = sent.unwrapOr(undefined);
    if (response && response.statusCode >= FIRST_ERROR_STATUS) {
      await this.endRejected(response);
      return;
    }
    if (record instanceof StreamRecord) await this.runStream(record, response);
    else await this.runWhole(record, response);
  }

  private async runStream(
    record: StreamRecord,
    response: EngineResponse | undefined,
  ): Promise<void> {
    const {settings, engine, clock, logger, metrics} = this.context;
    // An answer that was lost before its first byte can still be read: the
    // engine knows the stream by its id if it ever got the request. Until it
    // does, no head is sent, so that the entry can be told that it was lost.
    let attached = false;
    const attach = () => {
      if (!attached) record.attach(this.input.res, 0);
      attached = true;
    };
    if (response) attach();
    const pump = new StreamPump({
      engine,
      clock,
      logger,
      metrics,
      attemptId: this.attemptId,
      engineRequestId: this.engineId,
      callerRequestId: this.input.headers.requestId,
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
    if (isWhole) {
      record.complete();
      this.endWell();
      return;
    }
    if (!attached) this.refuse(ANSWER_LOST);
    record.abort();
    await this.endBroken('stream-broken');
  }

  private async runWhole(
    record: WholeRecord,
    response: EngineResponse | undefined,
  ): Promise<void> {
    const body = response && (await readWhole(response));
    const answer = body && this.rewrite(body);
    if (answer) {
      record.complete({
        status: response.statusCode,
        headers: {'content-type': 'application/json'},
        body: answer,
      });
      this.endWell();
      return;
    }
    this.refuse(ANSWER_LOST, record.fail());
    await this.endBroken('answer-lost');
  }

  /** Puts the caller's id in; undefined for another request's answer. */
  private rewrite(body: Buffer): Buffer | undefined {
    const parsed = parseObject(body);
    const id = toCallerId(parsed?.['id'], {
      engineRequestId: this.engineId,
      callerRequestId: this.input.headers.requestId,
    });
    if (parsed && id !== undefined) {
      return Buffer.from(JSON.stringify({...parsed, id}));
    }
    this.context.metrics.count('agent_stream_faults_total', {fault: 'crossed'});
    return undefined;
  }

  /** The engine answered with an error status. */
  private async endRejected(response: EngineResponse): Promise<void> {
    const {statusCode} = response;
    const text = await response.body.text().catch(() => '');
    const message =
      text.slice(0, MAX_MESSAGE_CHARS) || `the engine answered ${statusCode}`;
    const code = NOT_RUN_CODE_OF_STATUS[statusCode];
    if (code) {
      this.refuseNotRun(code, message);
      return;
    }
    this.refuse({code: 'engine-failed', outcome: 'unknown', message});
    await this.endBroken('engine-failed');
  }

  private refuseNotRun(code: NotRunCode, message: string): void {
    const {registry, ledger, queue} = this.context;
    const retryAfterMs = ENGINE_RETRY_AFTER_MS;
    this.refuse({code, outcome: 'not-run', message, retryAfterMs});
    ledger.releaseKv(this.attemptId);
    this.releaseCopy();
    registry.refuse(this.attemptId);
    queue.release(this.attemptId);
    this.log(code);
  }

  private refuse(
    refusal: Refusal,
    res: ServerResponse | undefined = this.input.res,
  ): void {
    if (!res) return;
    const load = this.context.loadHeader();
    sendRefusal(res, refusal, {attemptId: this.attemptId, load});
  }

  private endWell(): void {
    const {ledger, clock} = this.context;
    ledger.releaseKv(this.attemptId);
    this.context.notePrefix(this.input.headers.prefixHash);
    this.context.noteServed(this.input.headers.artifact);
    this.end('complete', clock.nowMs() - this.startedMs);
  }

  /** The slot stays taken until the engine can't run the request any more. */
  private async endBroken(reason: string): Promise<void> {
    this.abort.abort();
    this.context.registry.finish(this.attemptId);
    await this.context.canceller.cancel(this.engineId);
    this.context.ledger.releaseKv(this.attemptId);
    this.end(reason);
  }

  private end(reason: string, serviceTimeMs?: number): void {
    const {registry, queue, clock, settings} = this.context;
    registry.finish(this.attemptId);
    this.releaseCopy();
    queue.release(this.attemptId, serviceTimeMs);
    clock.setTimer(settings.resumeWindowMs, () =>
      registry.forgetAnswer(this.attemptId),
    );
    this.log(reason, serviceTimeMs);
  }

  private releaseCopy(): void {
    this.context.ledger.endUse(this.input.headers.artifact);
  }

  private noteFirstEvent(): void {
    this.firstEventMs = this.context.clock.nowMs() - this.startedMs;
    this.context.queue.noteFirstToken(this.firstEventMs);
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

  private streamRecord(): StreamRecord {
    const {clock, settings} = this.context;
    return new StreamRecord({
      attemptId: this.attemptId,
      clock,
      resumeWindowMs: settings.resumeWindowMs,
      maxBytes: settings.retention.bytesPerAttempt,
      writeHead: res => writeStreamHead(res, this.attemptId, this.context),
      onAbandoned: () => this.abort.abort(),
    });
  }

  private wholeRecord(): WholeRecord {
    const {clock, settings} = this.context;
    return new WholeRecord({
      clock,
      resumeWindowMs: settings.resumeWindowMs,
      commonHeaders: () => commonHeaders(this.attemptId, this.context),
      onAbandoned: () => this.abort.abort(),
    });
  }
}

/** What each answer of an attempt bears. */
export function commonHeaders(
  attemptId: string,
  context: Pick<AttemptContext, 'loadHeader'>,
): Record<string, string> {
  return {
    [HEADERS.attemptId]: attemptId,
    [HEADERS.load]: context.loadHeader(),
  };
}

/** Begins a stream's answer. */
export function writeStreamHead(
  res: ServerResponse,
  attemptId: string,
  context: Pick<AttemptContext, 'loadHeader'>,
): void {
  res.writeHead(200, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-cache',
    ...commonHeaders(attemptId, context),
  });
  res.flushHeaders();
}

/** The whole body, or undefined when any of it is missing. */
async function readWhole(
  response: EngineResponse,
): Promise<Buffer | undefined> {
  try {
    const body = Buffer.from(await response.body.arrayBuffer());
    const stated = response.headers['content-length'];
    if (stated !== undefined && Number(stated) !== body.length) {
      return undefined;
    }
    return body;
  } catch {
    return undefined;
  }
}

function parseObject(body: Buffer): Record<string, unknown> | undefined {
  try {
    const parsed: unknown = JSON.parse(body.toString('utf8'));
    const isObject = typeof parsed === 'object' && parsed !== null;
    return isObject ? (parsed as Record<string, unknown>) : undefined;
  } catch {
    return undefined;
  }
}
