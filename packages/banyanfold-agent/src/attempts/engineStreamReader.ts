import {sleep, type Clock, type Logger, type Metrics} from '@banyanfold/core';
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import type {EngineClient, EngineResponse} from '../engine/engineClient.js';
import {StreamVerifier, type VerifiedEvent} from '../engine/streamVerifier.js';

const OK = 200;
/** One event longer than this is no event. */
const MAX_EVENT_CHARS = 4 * 1024 * 1024;

/** Where the events of one stream go. */
export interface EventSink {
  append(seq: number, data: string): void;
  /** Whether reading should wait: the reader is slower than the engine. */
  isFull(): boolean;
  /** Resolves when it isn't full any more. */
  writable(): Promise<void>;
}

/** How a stream is read. */
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
  maxResumes: number;
  retryDelayMs: number;
  /** The number of the last event that the reader has already. */
  startSeq?: number;
  onFirstEvent?(): void;
}

/** Why one connection to the engine gave no more. */
type ReadEnd = 'complete' | 'broken' | 'failed';

/**
 * Reads one stream from the engine to its true end.
 *
 * A connection to the engine can be cut, end cleanly in the middle, or skip an
 * event. Whatever the kind, the stream is asked for again after the last good
 * event; only `[DONE]` in its place makes it complete.
 */
export class EngineStreamReader {
  private readonly verifier: StreamVerifier;
  private sawEvent = false;

  constructor(private readonly options: EngineStreamReaderOptions) {
    this.verifier = new StreamVerifier({
      engineRequestId: options.engineRequestId,
      callerRequestId: options.callerRequestId,
      lastSeq: options.startSeq,
    });
  }

  /** Resolves to whether the whole stream went to the sink. */
  async run(first: EngineResponse | undefined): Promise<boolean> {
    let response = first;
    for (let resumes = 0; ; resumes++) {
      const end = response ? await this.read(response) : 'broken';
      if (end === 'complete') return true;
      if (end === 'failed' || this.options.signal.aborted) return false;
      if (resumes >= this.options.maxResumes) return false;
      // The first resume goes at once: the reader waits.
      if (resumes > 0) await this.pause(resumes);
      response = await this.resume();
      if (response?.statusCode === 404) return false;
    }
  }

  private async resume(): Promise<EngineResponse | undefined> {
    const {engine, engineRequestId, signal, logger, metrics} = this.options;
    const afterSeq = this.verifier.lastSeq;
    const answer = await engine.resume(engineRequestId, afterSeq, signal);
    const status = answer.isOk() ? answer.value.statusCode : 0;
    metrics.count('agent_engine_resumes_total', {status: String(status)});
    logger.info('engine-resume', {
      attempt: this.options.attemptId,
      afterSeq,
      status: status || undefined,
      code: answer.isErr() ? answer.error.code : undefined,
    });
    if (answer.isErr()) return undefined;
    if (status === OK || status === 404) {
      if (status === 404) await answer.value.body.dump().catch(() => {});
      return answer.value;
    }
    await answer.value.body.dump().catch(() => {});
    return undefined;
  }

  private pause(resumes: number): Promise<void> {
    const {clock, retryDelayMs} = this.options;
    return sleep(clock, retryDelayMs * resumes);
  }

  private async read(response: EngineResponse): Promise<ReadEnd> {
    const events: EventSourceMessage[] = [];
    let overlong = false;
    const parser = createParser({
      onEvent: event => events.push(event),
      onError: error => {
        if (error.type === 'max-buffer-size-exceeded') overlong = true;
      },
      maxBufferSize: MAX_EVENT_CHARS,
    });
    const decoder = new TextDecoder();
    const {body} = response;
    let end: ReadEnd | undefined;
    try {
      const chunks = body.iterator({destroyOnReturn: false});
      for await (const chunk of chunks as AsyncIterable<Buffer>) {
        parser.feed(decoder.decode(chunk, {stream: true}));
        end = overlong ? 'failed' : this.takeAll(events.splice(0));
        if (end) break;
        if (this.options.sink.isFull()) await this.writableOrAborted();
      }
    } catch {
      // Cut: what came is kept, the rest is asked for again.
    }
    leaveBody(body, end === 'complete');
    return end ?? 'broken';
  }

  /** A reader that never drains must not hold the slot past its abort. */
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

  private takeAll(events: EventSourceMessage[]): ReadEnd | undefined {
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
      this.pass(seq, data);
      return undefined;
    },
    end: ({seq, data}) => {
      this.pass(seq, data);
      return 'complete';
    },
    drop: ({reason}) => {
      this.noteFault(reason);
      return undefined;
    },
    gap: () => {
      this.noteFault('gap');
      return 'broken';
    },
    'engine-error': ({message}) => {
      this.noteFault('engine-error', message);
      return 'failed';
    },
  };

  private pass(seq: number, data: string): void {
    if (!this.sawEvent) this.options.onFirstEvent?.();
    this.sawEvent = true;
    this.options.sink.append(seq, data);
  }

  private noteFault(fault: string, message?: string): void {
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
 * A whole stream is read to the end of its HTTP body, which follows at once;
 * destroying it would make an error with its stack trace for each request.
 */
function leaveBody(body: EngineResponse['body'], isComplete: boolean): void {
  // Unheard, a late error of the connection would end the process.
  body.on('error', () => {});
  if (isComplete) body.resume();
  else body.destroy();
}
