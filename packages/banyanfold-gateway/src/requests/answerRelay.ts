import type {ServerResponse} from 'node:http';
import type {GatewayContext} from '../context.js';
import type {RunnerConnection} from '../runners/runnerConnections.js';
import type {
  AnswerFacts,
  AnswerHeaders,
  DecodedRequest,
  RoutePolicy,
} from '../types.js';
import {
  Attempt,
  type AnswerHead,
  type AttemptMessage,
  type AttemptObserver,
} from './attempt.js';
import {EventSplitter} from './eventSplitter.js';
import {framingOf, type Framing} from './wholeness.js';

const HAS_NO_BODY_STATUS = new Set([204, 304]);

/** How one sending of a request ended. */
export type AttemptResult =
  | {
      kind: 'delivered';
      status: number;
      isSuccess: boolean;
      firstByteMs: number;
      canReuse: boolean;
    }
  /** The runner's own failure, whole; not yet given to the caller. */
  | {kind: 'failed'; status: number; headers: AnswerHeaders; body: Buffer}
  /** The runner vouches that it did not run it. */
  | {
      kind: 'rejected';
      status: number;
      canReuse: boolean;
      fromOtherRunner: boolean;
    }
  /** No connection was established. */
  | {kind: 'unreached'; error: string}
  /** It may have run, and no whole answer came. */
  | {
      kind: 'broken';
      error: string;
      /** The runner's side ended the connection; it may have crashed. */
      isCutOff: boolean;
    };

/** Who is asked, and who wants to know of the answer's begin. */
export interface AttemptTracking {
  runnerId: string;
  onFirstByte(): void;
  /** The head of an answer, which the runner vouches for or not. */
  onFacts(facts: AnswerFacts): void;
}

export interface AnswerRelayOptions {
  context: GatewayContext;
  route: RoutePolicy;
  response: ServerResponse;
  decoded: DecodedRequest;
  startedMs: number;
}

/** One answer on its way from a runner. */
interface Incoming {
  head: AnswerHead;
  facts: AnswerFacts;
  framing: Framing;
  /** Goes on event by event; else it is gathered first. */
  isStreamed: boolean;
  chunks: Buffer[];
  gatheredBytes: number;
  firstByteMs: number;
}

/**
 * Passes answers on: a stream event by event, anything else once it is whole,
 * so that a caller never takes a part for the whole answer.
 */
export class AnswerRelay {
  hasBegun = false;
  firstByteMs: number | undefined;
  lastEventId: string | undefined;
  /** Between two events that went on to the caller. */
  longestPauseMs: number | undefined;
  private lastEventAtMs: number | undefined;
  private current: {attempt: Attempt; abandon: () => void} | undefined;

  constructor(private readonly options: AnswerRelayOptions) {}

  /** A runner has the request, or part of an answer went to the caller. */
  get isSent(): boolean {
    return this.hasBegun || (this.current?.attempt.mayHaveRun ?? false);
  }

  /** Sends the request and settles when its answer ended, either way. */
  relay(
    connection: RunnerConnection,
    message: AttemptMessage,
    tracking: AttemptTracking,
  ): Promise<AttemptResult> {
    return new Promise(resolve => {
      const settle = (result: AttemptResult) => {
        this.current = undefined;
        if (result.kind === 'broken') connection.destroy();
        resolve(result);
      };
      const observer = this.observe(connection, settle, tracking);
      const attempt = new Attempt(connection, observer);
      const abandon = () => settle(brokenBy('given up'));
      this.current = {attempt, abandon};
      attempt.send(message);
    });
  }

  /** Stops the runner's work. Returns whether a request had reached it. */
  cancel(): boolean {
    const {current} = this;
    if (!current) return false;
    current.attempt.cancel();
    current.abandon();
    return current.attempt.mayHaveRun;
  }

  /** Gives the caller a runner's own failure, as it was. */
  deliverFailure(result: {
    status: number;
    headers: AnswerHeaders;
    body: Buffer;
  }): void {
    this.sendWhole(result.status, result.headers, result.body);
  }

  private observe(
    connection: RunnerConnection,
    settle: (result: AttemptResult) => void,
    tracking: AttemptTracking,
  ): AttemptObserver {
    const splitter = new EventSplitter();
    const sentMs = this.options.context.clock.nowMs();
    let incoming: Incoming | undefined;
    const fail = (error: string) => {
      this.current?.attempt.cancel();
      settle(brokenBy(error));
    };
    return {
      onHead: head => {
        incoming = this.judgeHead(head, sentMs, tracking.runnerId);
        tracking.onFacts(incoming.facts);
        if (!incoming.facts.notExecuted) tracking.onFirstByte();
        const flaw = this.flawOf(incoming.facts);
        if (flaw !== undefined) return fail(flaw);
        // Only now: the head of a stream stays when another runner goes on, and
        // the caller would take that runner's events for another request's.
        if (incoming.isStreamed) this.begin(head);
      },
      onData: chunk => {
        if (!incoming) return true;
        if (incoming.isStreamed) return this.passEvents(splitter, chunk);
        incoming.gatheredBytes += chunk.length;
        incoming.chunks.push(chunk);
        const {maxGatheredBytes} = this.options.context.options;
        if (incoming.gatheredBytes > maxGatheredBytes) fail('answer too large');
        return true;
      },
      onEnd: () => {
        if (!incoming) return fail('no answer');
        if (incoming.framing !== 'until-close') {
          settle(this.conclude(incoming, splitter));
          return;
        }
        const ended = incoming;
        void connection.endedCleanly().then(isWhole => {
          if (!this.current) return;
          if (isWhole) settle(this.conclude(ended, splitter));
          else settle(cutOffBy('reset before the end'));
        });
      },
      onError: error => {
        if (connection.established) {
          settle(cutOffBy(error.message));
        } else {
          settle({kind: 'unreached', error: error.message});
        }
      },
    };
  }

  private judgeHead(
    head: AnswerHead,
    sentMs: number,
    runnerId: string,
  ): Incoming {
    const {context, route} = this.options;
    const facts = context.codec.decodeAnswer(
      head.status,
      head.headers,
      runnerId,
    );
    const isSuccess = head.status < 300 && facts.signed;
    const nowMs = context.clock.nowMs();
    const isStreamed = route.kind === 'streaming' && isSuccess;
    return {
      head,
      facts,
      framing: framingOf(head.headers),
      isStreamed,
      chunks: [],
      gatheredBytes: 0,
      firstByteMs: nowMs - sentMs,
    };
  }

  /** What shows by the head that an answer isn't this request's. */
  private flawOf({requestId, encoded}: AnswerFacts): string | undefined {
    const expected = this.options.decoded.request.requestId;
    if (requestId !== undefined && requestId !== expected) {
      return 'answer of another request';
    }
    return encoded ? 'answer is recoded' : undefined;
  }

  /** The first answer's head stays when another runner goes on. */
  private begin({status, headers}: AnswerHead): void {
    if (this.hasBegun) return;
    this.hasBegun = true;
    const {response, context, startedMs} = this.options;
    this.firstByteMs = Math.round(context.clock.nowMs() - startedMs);
    const passed = context.codec.passedAnswerHeaders(headers);
    delete passed['content-length'];
    if (context.isLeaving()) passed['connection'] = 'close';
    response.writeHead(status, passed);
    response.flushHeaders();
  }

  private passEvents(splitter: EventSplitter, chunk: Buffer): boolean {
    const events = splitter.push(chunk);
    if (!events) return true;
    if (events.lastEventId !== undefined) this.lastEventId = events.lastEventId;
    this.notePause();
    const {response} = this.options;
    if (response.write(events.bytes)) return true;
    const {current} = this;
    response.once('drain', () => current?.attempt.resume());
    return false;
  }

  private notePause(): void {
    const nowMs = this.options.context.clock.nowMs();
    const pauseMs = Math.round(nowMs - (this.lastEventAtMs ?? nowMs));
    this.longestPauseMs = Math.max(this.longestPauseMs ?? 0, pauseMs);
    this.lastEventAtMs = nowMs;
  }

  private conclude(incoming: Incoming, splitter: EventSplitter): AttemptResult {
    const {head, facts, chunks, isStreamed, firstByteMs} = incoming;
    const {status, headers} = head;
    const canReuse = this.canReuse(incoming);
    if (isStreamed) {
      if (splitter.pending.length > 0) {
        return cutOffBy('ended inside an event');
      }
      this.options.response.end();
      return {
        kind: 'delivered',
        status,
        isSuccess: true,
        firstByteMs,
        canReuse,
      };
    }
    const body = Buffer.concat(chunks);
    if (status < 300) {
      if (!facts.signed) return brokenBy('answer is unsigned');
      this.firstByteMs = Math.round(firstByteMs);
      this.sendWhole(status, headers, body);
      return {
        kind: 'delivered',
        status,
        isSuccess: true,
        firstByteMs,
        canReuse,
      };
    }
    if (facts.notExecuted) {
      const {fromOtherRunner} = facts;
      return {kind: 'rejected', status, canReuse, fromOtherRunner};
    }
    if (facts.signed) return {kind: 'failed', status, headers, body};
    return brokenBy(`unsigned answer ${status}`);
  }

  private canReuse({head, framing}: Incoming): boolean {
    const word = String(head.headers['connection'] ?? '').toLowerCase();
    return framing !== 'until-close' && !word.includes('close');
  }

  private sendWhole(
    status: number,
    headers: AnswerHeaders,
    body: Buffer,
  ): void {
    const {response, context} = this.options;
    const passed = context.codec.passedAnswerHeaders(headers);
    if (!HAS_NO_BODY_STATUS.has(status)) {
      passed['content-length'] = String(body.length);
    }
    if (context.isLeaving()) passed['connection'] = 'close';
    response.writeHead(status, passed);
    response.end(body);
  }
}

/** An answer that this process gave up, or can't take for the runner's. */
function brokenBy(error: string): AttemptResult {
  return {kind: 'broken', error, isCutOff: false};
}

function cutOffBy(error: string): AttemptResult {
  return {kind: 'broken', error, isCutOff: true};
}
