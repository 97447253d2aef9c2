import type {EntryContext} from '../context.js';
import type {RequestJob} from '../requests/types.js';
import type {AgentState} from '../view/agentState.js';
import {forwardableHeaders, type AttemptAnswer} from './attemptResponse.js';
import {FrameScanner} from './frameScanner.js';
import {IdleTimer} from './idleTimer.js';
import {waitBeforeResume} from './waitBeforeResume.js';

type Body = AttemptAnswer['body'];

/** How the relay of one attempt's stream ended. */
export type RelayResult =
  | {kind: 'streamed'}
  /** Broken; `started` tells whether the caller received any part of it. */
  | {kind: 'broken'; started: boolean; reason: string}
  | {kind: 'caller-gone'};

/** The attempt whose stream is forwarded. */
export interface RelayOptions {
  context: EntryContext;
  job: RequestJob;
  agent: AgentState;
  attemptId: string;
  signal: AbortSignal;
  /** Called when the first event is sent to the caller. */
  onFirstEvent(): void;
}

/**
 * Forwards a stream to the caller. If the stream breaks, it is resumed from the
 * agent after the last event forwarded.
 */
export class StreamRelay {
  private readonly scanner: FrameScanner;
  private firstEventSent = false;

  constructor(private readonly options: RelayOptions) {
    this.scanner = new FrameScanner({
      attemptId: options.attemptId,
      maxEventBytes: options.context.settings.limits.eventBytes,
    });
  }

  async run(reply: AttemptAnswer): Promise<RelayResult> {
    const {job, context} = this.options;
    const {resumeTries} = context.settings.attempts;
    let body: Body | undefined = reply.body;
    let triesLeft = resumeTries;
    let reason = '';
    for (;;) {
      if (body) {
        const seqBefore = this.scanner.lastSeq;
        reason = await this.forwardEvents(body, reply);
        if (this.scanner.done) return {kind: 'streamed'};
        if (this.scanner.lastSeq > seqBefore) triesLeft = resumeTries;
      }
      if (job.signal.aborted) return {kind: 'caller-gone'};
      if (this.canRetryElsewhere() || triesLeft === 0) break;
      await waitBeforeResume(context, resumeTries - triesLeft);
      triesLeft--;
      const resumed = await this.resume(reason);
      if (resumed === 'gone') break;
      body = resumed;
    }
    return {kind: 'broken', started: job.callerStream.started, reason};
  }

  /** Forwards events until the body ends, and returns why it ended. */
  private async forwardEvents(
    body: Body,
    reply: AttemptAnswer,
  ): Promise<string> {
    const {context, job} = this.options;
    const {clock, settings} = context;
    let fault: string | undefined;
    const stop = (reason: string) => {
      fault ??= reason;
      body.destroy();
    };
    const idleTimer = new IdleTimer(clock, settings.attempts.streamIdleMs, () =>
      stop('idle'),
    );
    // The error from `destroy` can be emitted after the loop below has ended;
    // without a listener it would crash the process.
    body.on('error', () => {});
    const onCallerGone = () => stop('caller-gone');
    job.signal.addEventListener('abort', onCallerGone);
    this.scanner.reset();
    try {
      // The body is not destroyed when the loop ends: after the end marker the
      // rest of it is drained, so that its connection can be reused.
      const chunks = body.iterator({destroyOnReturn: false});
      for await (const chunk of chunks as AsyncIterable<Buffer>) {
        idleTimer.recordActivity();
        const frames = this.scanner.scan(chunk);
        this.recordDropped(frames.dropped);
        // The time the caller takes to read must not count as agent idle time.
        idleTimer.pause();
        if (frames.events.length > 0) await this.write(frames.events, reply);
        idleTimer.recordActivity();
        if (frames.fault) stop(frames.fault);
        if (this.scanner.done || fault) break;
      }
    } catch (error) {
      fault ??= (error as {code?: string}).code ?? 'broken';
    } finally {
      idleTimer.stop();
      job.signal.removeEventListener('abort', onCallerGone);
    }
    if (this.scanner.done) body.resume();
    return fault ?? 'ended-early';
  }

  private async write(events: Buffer[], reply: AttemptAnswer): Promise<void> {
    const {job, onFirstEvent} = this.options;
    if (!this.firstEventSent) {
      this.firstEventSent = true;
      job.callerStream.begin(reply.status, forwardableHeaders(reply.headers));
      onFirstEvent();
    }
    await job.callerStream.write(events, this.scanner.done);
  }

  /**
   * Whether to retry on another agent instead of resuming: nothing was sent to
   * the caller yet, and the request may be repeated.
   */
  private canRetryElsewhere(): boolean {
    const {job} = this.options;
    return !job.callerStream.started && job.target.selector.repeatable;
  }

  private async resume(reason: string): Promise<Body | 'gone' | undefined> {
    const {context, agent, attemptId, job, signal} = this.options;
    const {lastSeq} = this.scanner;
    const reply = await this.openWithTimeout(
      context.settings.attempts.resumeMs,
      timeout =>
        context.transport.resume(
          {
            agent,
            attemptId,
            requestId: job.requestId,
            signal: AbortSignal.any([signal, timeout]),
          },
          lastSeq,
        ),
    );
    const isOpen = reply.kind === 'answered' && reply.isStream;
    context.metrics.count('stream_resumes_total', {
      result: isOpen ? 'resumed' : reply.kind,
    });
    context.logger.warn('stream-resume', {
      request: job.requestId,
      attempt: attemptId,
      agent: agent.vmId,
      lastSeq,
      reason,
      result: isOpen ? 'resumed' : reply.kind,
    });
    if (isOpen) return reply.body;
    if (reply.kind === 'failed') return undefined;
    // The agent is reachable but no longer has the stream.
    if (reply.kind === 'answered') reply.body.on('error', () => {}).destroy();
    return 'gone';
  }

  /** Limits the time that an unresponsive agent can keep the caller waiting. */
  private async openWithTimeout<T>(
    timeoutMs: number,
    open: (timeout: AbortSignal) => Promise<T>,
  ): Promise<T> {
    const timeout = new AbortController();
    const {clock} = this.options.context;
    const timer = clock.setTimer(timeoutMs, () => timeout.abort());
    const reply = await open(timeout.signal);
    timer.cancel();
    return reply;
  }

  private recordDropped(dropped: number): void {
    if (dropped === 0) return;
    const {context, attemptId, agent} = this.options;
    context.metrics.count('frames_dropped_total', {}, dropped);
    context.logger.warn('frames-dropped', {
      attempt: attemptId,
      agent: agent.vmId,
      dropped,
    });
  }
}
