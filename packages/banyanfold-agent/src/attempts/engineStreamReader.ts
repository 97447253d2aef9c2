import {sleep, type Clock, type Logger, type Metrics} from '@banyanfold/core';
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import type {EngineClient, EngineResponse} from '../engine/engineClient.js';
import {StreamVerifier, type VerifiedEvent} from '../engine/streamVerifier.js';

const OK = 200;
/** A stream with an event longer than this fails. */
const MAX_EVENT_CHARS = 4 * 1024 * 1024;

/** Receives the events of one stream. */
export interface EventSink {
  append(seq: number, data: string): void;
  /** Whether to pause: the sink's reader is slower than the engine. */
  isFull(): boolean;
  /** Resolves once the sink isn't full. */
  writable(): Promise<void>;
}

/** Options of an `EngineStreamReader`. */
export interface EngineStreamReaderOptions {
  engine: Pick<EngineClient, 'resume'>;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  attemptId: string;
  engineRequestId: string;
  callerRequestId: string;
  sink: EventSink;
  signal: AbortSignal;
  /** A stream whose next event takes longer than this counts as broken. */
  maxEventMs: number;
  maxResumes: number;
  retryDelayMs: number;
  /** Sequence number of the last event that the sink's reader already has. */
  startSeq?: number;
  onFirstEvent?(): void;
}

/** Why reading from one connection to the engine ended. */
type ReadEnd = 'complete' | 'broken' | 'failed';

/**
 * Reads one stream from the engine to its end marker.
 *
 * A connection to the engine can break, end cleanly before the end of the
 * stream, or skip an event. In each case the stream is resumed after the last
 * valid event. Only `[DONE]` at the expected position completes it.
 */
export class EngineStreamReader {
  private readonly verifier: StreamVerifier;
  private hasForwardedEvent = false;

  constructor(private readonly options: EngineStreamReaderOptions) {
    this.verifier = new StreamVerifier({
      engineRequestId: options.engineRequestId,
      callerRequestId: options.callerRequestId,
      lastSeq: options.startSeq,
    });
  }

  /** Resolves to whether the complete stream was written to the sink. */
  async run(firstResponse: EngineResponse | undefined): Promise<boolean> {
    let response = firstResponse;
    for (let resumes = 0; ; resumes++) {
      const end = response ? await this.readResponse(response) : 'broken';
      if (end === 'complete') return true;
      if (end === 'failed' || this.options.signal.aborted) return false;
      if (resumes >= this.options.maxResumes) return false;
      // The first resume is not delayed, because the reader is waiting.
      if (resumes > 0) await this.delayResume(resumes);
      response = await this.resume();
      if (response?.statusCode === 404) return false;
    }
  }

  private async resume(): Promise<EngineResponse | undefined> {
    const {engine, engineRequestId, signal, logger, metrics} = this.options;
    const afterSeq = this.verifier.lastSeq;
    const result = await engine.resume(engineRequestId, afterSeq, signal);
    const status = result.isOk() ? result.value.statusCode : 0;
    metrics.count('agent_engine_resumes_total', {status: String(status)});
    logger.info('engine-resume', {
      attempt: this.options.attemptId,
      afterSeq,
      status: status || undefined,
      code: result.isErr() ? result.error.code : undefined,
    });
    if (result.isErr()) return undefined;
    if (status === OK || status === 404) {
      if (status === 404) await result.value.body.dump().catch(() => {});
      return result.value;
    }
    await result.value.body.dump().catch(() => {});
    return undefined;
  }

  private delayResume(resumes: number): Promise<void> {
    const {clock, retryDelayMs} = this.options;
    return sleep(clock, retryDelayMs * resumes);
  }

  private async readResponse(response: EngineResponse): Promise<ReadEnd> {
    const events: EventSourceMessage[] = [];
    let isTooLong = false;
    const parser = createParser({
      onEvent: event => events.push(event),
      onError: error => {
        if (error.type === 'max-buffer-size-exceeded') isTooLong = true;
      },
      maxBufferSize: MAX_EVENT_CHARS,
    });
    const decoder = new TextDecoder();
    const {clock, maxEventMs} = this.options;
    let lastEventMs = clock.nowMs();
    const {body} = response;
    let end: ReadEnd | undefined;
    try {
      const chunks = body.iterator({destroyOnReturn: false});
      for await (const chunk of chunks as AsyncIterable<Buffer>) {
        parser.feed(decoder.decode(chunk, {stream: true}));
        if (events.length > 0) lastEventMs = clock.nowMs();
        const isTooSlow = clock.nowMs() - lastEventMs > maxEventMs;
        if (isTooSlow) this.recordFault('event-time');
        end = isTooLong ? 'failed' : this.processEvents(events.splice(0));
        if (isTooSlow) end ??= 'broken';
        if (end) break;
        if (this.options.sink.isFull()) {
          await this.writableOrAborted();
          lastEventMs = clock.nowMs();
        }
      }
    } catch {
      // The connection broke: keep the received events and resume the rest.
    }
    releaseBody(body, end === 'complete');
    return end ?? 'broken';
  }

  /** Also resolves on abort, so that a stalled reader can't keep the slot. */
  private async writableOrAborted(): Promise<void> {
    const {sink, signal} = this.options;
    if (signal.aborted) return;
    let onAbort = (): void => {};
    const aborted = new Promise<void>(resolve => {
      onAbort = resolve;
      signal.addEventListener('abort', onAbort);
    });
    await Promise.race([sink.writable(), aborted]);
    signal.removeEventListener('abort', onAbort);
  }

  private processEvents(events: EventSourceMessage[]): ReadEnd | undefined {
    for (const event of events) {
      const verified = this.verifier.verify(event);
      const end = this.handlers[verified.kind](verified as never);
      if (end) return end;
    }
    return undefined;
  }

  private readonly handlers: {
    [K in VerifiedEvent['kind']]: (
      event: Extract<VerifiedEvent, {kind: K}>,
    ) => ReadEnd | undefined;
  } = {
    pass: ({seq, data}) => {
      this.forward(seq, data);
      return undefined;
    },
    end: ({seq, data}) => {
      this.forward(seq, data);
      return 'complete';
    },
    drop: ({reason}) => {
      this.recordFault(reason);
      return undefined;
    },
    gap: () => {
      this.recordFault('gap');
      return 'broken';
    },
    'engine-error': ({message}) => {
      this.recordFault('engine-error', message);
      return 'failed';
    },
  };

  private forward(seq: number, data: string): void {
    if (!this.hasForwardedEvent) this.options.onFirstEvent?.();
    this.hasForwardedEvent = true;
    this.options.sink.append(seq, data);
  }

  private recordFault(fault: string, message?: string): void {
    const {metrics, logger, attemptId} = this.options;
    metrics.count('agent_stream_faults_total', {fault});
    logger.warn('stream-fault', {
      attempt: attemptId,
      fault,
      afterSeq: this.verifier.lastSeq,
      message,
    });
  }
}

/**
 * Releases a response body. The body of a complete stream is read to its end,
 * which follows immediately; destroying it would create an error with a stack
 * trace for each request.
 */
function releaseBody(body: EngineResponse['body'], isComplete: boolean): void {
  // Without a listener, a late connection error would terminate the process.
  body.on('error', () => {});
  if (isComplete) body.resume();
  else body.destroy();
}
