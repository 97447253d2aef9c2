import {HEADERS} from '@banyanfold/protocol';
import type {EntryContext} from '../context.js';
import type {RequestJob, RequestResult} from '../requests/types.js';
import type {AgentState} from '../view/agentState.js';
import {
  parseLoadDigest,
  type AttemptAnswer,
  type AttemptResponse,
  type AttemptRefusal,
} from './attemptResponse.js';
import {collectAnswer} from './collectAnswer.js';
import {waitBeforeResume} from './waitBeforeResume.js';
import {StreamRelay} from './streamRelay.js';

const FIRST_SERVER_ERROR = 500;

/** How one attempt ended. */
export type AttemptResult =
  | {kind: 'done'; result: RequestResult}
  | {kind: 'refused'; refusal: AttemptRefusal}
  | {kind: 'failed'; neverSent: boolean; reason: string};

export interface AttemptOptions {
  context: EntryContext;
  job: RequestJob;
  agent: AgentState;
  attemptId: string;
  incarnation: number;
}

/** Runs one attempt at one agent, and notes what it tells of that agent. */
export async function runAttempt(
  options: AttemptOptions,
): Promise<AttemptResult> {
  const {agent, attemptId, job} = options;
  agent.attemptSent(attemptId);
  job.attempts++;
  try {
    const result = await new AttemptRun(options).run();
    noteOutcome(agent, result);
    return result;
  } finally {
    agent.attemptEnded(attemptId);
  }
}

class AttemptRun {
  private readonly stop = new AbortController();
  private readonly sentMs: number;
  /** Whether the deadline ended the attempt. */
  private timedOut = false;

  constructor(private readonly options: AttemptOptions) {
    this.sentMs = options.context.clock.nowMs();
  }

  async run(): Promise<AttemptResult> {
    const {context, job} = this.options;
    const onGone = () => this.stop.abort();
    job.signal.addEventListener('abort', onGone);
    const timer = context.clock.setTimer(
      job.wholeDeadlineMs - this.sentMs,
      () => {
        this.timedOut = true;
        this.stop.abort();
      },
    );
    try {
      return await this.exchange(() => timer.cancel());
    } finally {
      timer.cancel();
      job.signal.removeEventListener('abort', onGone);
    }
  }

  /** `onFirstEvent` ends the deadline: a stream that runs isn't cut off. */
  private async exchange(onFirstEvent: () => void): Promise<AttemptResult> {
    const {context, job, agent, attemptId} = this.options;
    const opened = await context.transport.open({
      agent,
      attemptId,
      path: job.path,
      headers: this.headers(),
      body: job.body,
      signal: this.stop.signal,
    });
    const first = await this.take(opened, onFirstEvent);
    if (!this.mayRecover(first)) return first;
    return this.recover(first, onFirstEvent);
  }

  /**
   * One that may not be repeated is lost with its answer, unless the answer
   * can still be had: its agent keeps it for a while.
   */
  private mayRecover(result: AttemptResult): boolean {
    const {repeatable} = this.options.job.target.selector;
    return result.kind === 'failed' && !result.neverSent && !repeatable;
  }

  private async recover(
    first: AttemptResult,
    onFirstEvent: () => void,
  ): Promise<AttemptResult> {
    const {context, job, agent, attemptId} = this.options;
    const {resumeTries} = context.settings.attempts;
    const {signal} = this.stop;
    const address = {agent, attemptId, requestId: job.requestId, signal};
    for (let tries = 0; tries < resumeTries && !signal.aborted; tries++) {
      await waitBeforeResume(context, tries);
      const opened = await context.transport.resume(address, 0);
      const result = await this.take(opened, onFirstEvent);
      context.logger.warn('answer-resume', {
        request: job.requestId,
        attempt: attemptId,
        agent: agent.vmId,
        result: result.kind,
      });
      if (result.kind === 'done') return result;
      // Whether it started is for the seal to say.
      if (result.kind === 'refused') break;
    }
    return first;
  }

  private async take(
    opened: AttemptResponse,
    onFirstEvent: () => void,
  ): Promise<AttemptResult> {
    const {context, job, agent} = this.options;
    if (job.signal.aborted) return callerGone();
    if (opened.kind === 'failed') {
      return {...opened, reason: this.reasonOr(opened.reason)};
    }
    const digest = parseLoadDigest(opened.headers);
    if (digest) agent.applyDigest(digest, context.clock.nowMs());
    if (opened.kind === 'refused') return {kind: 'refused', refusal: opened};
    if (this.isEngineFailure(opened)) {
      opened.body.on('error', () => {}).resume();
      return this.failed(`status-${opened.status}`);
    }
    return opened.isStream && job.target.kind !== 'service'
      ? this.relay(opened, onFirstEvent)
      : this.collect(opened);
  }

  private async relay(
    opened: AttemptAnswer,
    onFirstEvent: () => void,
  ): Promise<AttemptResult> {
    const {context, job, agent, attemptId} = this.options;
    const relay = new StreamRelay({
      context,
      job,
      agent,
      attemptId,
      signal: this.stop.signal,
      onFirstEvent: () => {
        onFirstEvent();
        const tookMs = context.clock.nowMs() - this.sentMs;
        agent.recordFirstToken(tookMs);
        context.metrics.observeMs(
          'first_token_ms',
          context.clock.nowMs() - job.startedMs,
          {selector: job.target.selector.name},
        );
      },
    });
    const result = await relay.run(opened);
    if (result.kind !== 'broken') return {kind: 'done', result};
    const reason = this.reasonOr(result.reason);
    if (!result.started) return this.failed(reason);
    return {kind: 'done', result: {kind: 'broken', reason}};
  }

  private async collect(opened: AttemptAnswer): Promise<AttemptResult> {
    const {context, job} = this.options;
    const {answerBytes} = context.settings.limits;
    const answer = await collectAnswer(opened, answerBytes);
    if (job.signal.aborted) return callerGone();
    if (typeof answer === 'string') return this.failed(this.reasonOr(answer));
    return {kind: 'done', result: {kind: 'answer', answer}};
  }

  /** A 5xx that no agent has signed comes from an engine in trouble. */
  private isEngineFailure(opened: AttemptAnswer): boolean {
    const {target} = this.options.job;
    if (target.kind === 'service' || !target.selector.repeatable) return false;
    return opened.status >= FIRST_SERVER_ERROR;
  }

  private failed(reason: string): AttemptResult {
    return {kind: 'failed', neverSent: false, reason};
  }

  private reasonOr(reason: string): string {
    return this.timedOut ? 'deadline' : reason;
  }

  private headers(): Record<string, string> {
    const {job, attemptId, incarnation} = this.options;
    const budget = (deadlineMs: number) =>
      String(Math.max(0, Math.round(deadlineMs - this.sentMs)));
    return {
      'content-type': job.contentType,
      [HEADERS.attemptId]: attemptId,
      [HEADERS.requestId]: job.requestId,
      [HEADERS.incarnation]: String(incarnation),
      [HEADERS.artifact]: job.target.artifact,
      [HEADERS.priority]: String(job.target.selector.priority),
      [HEADERS.firstTokenBudgetMs]: budget(job.firstTokenDeadlineMs),
      [HEADERS.wholeBudgetMs]: budget(job.wholeDeadlineMs),
      [HEADERS.promptTokens]: String(job.metadata.promptTokens),
      [HEADERS.maxTokens]: String(job.metadata.maxTokens),
      [HEADERS.prefixHash]: job.prefixHash,
      // A service's call takes no KV cache, and agents refuse a zero here.
      ...(job.target.kvBytesPerToken > 0 && {
        [HEADERS.kvBytesPerToken]: String(job.target.kvBytesPerToken),
      }),
      ...(job.idempotencyKey && {
        [HEADERS.idempotencyKey]: job.idempotencyKey,
      }),
    };
  }
}

function callerGone(): AttemptResult {
  return {kind: 'done', result: {kind: 'caller-gone'}};
}

/** A refusal is no failure: the agent works, and says that it is full. */
function noteOutcome(agent: AgentState, result: AttemptResult): void {
  if (result.kind === 'failed') agent.recordFailure();
  if (result.kind !== 'done') return;
  const {kind} = result.result;
  if (kind === 'broken') agent.recordFailure();
  if (kind === 'answer' || kind === 'streamed') agent.recordSuccess();
}
