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

const MIN_SERVER_ERROR_STATUS = 500;

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

/** Runs one attempt on an agent and records its outcome for that agent. */
export async function runAttempt(
  options: AttemptOptions,
): Promise<AttemptResult> {
  const {agent, attemptId, job} = options;
  agent.attemptSent(attemptId);
  job.attempts++;
  try {
    const result = await new AttemptRun(options).run();
    recordOutcome(agent, result);
    return result;
  } finally {
    agent.attemptEnded(attemptId);
  }
}

class AttemptRun {
  private readonly abortController = new AbortController();
  private readonly sentMs: number;
  /** Whether the request's deadline aborted the attempt. */
  private timedOut = false;

  constructor(private readonly options: AttemptOptions) {
    this.sentMs = options.context.clock.nowMs();
  }

  async run(): Promise<AttemptResult> {
    const {context, job} = this.options;
    const onCallerGone = () => this.abortController.abort();
    job.signal.addEventListener('abort', onCallerGone);
    const timer = context.clock.setTimer(
      job.wholeDeadlineMs - this.sentMs,
      () => {
        this.timedOut = true;
        this.abortController.abort();
      },
    );
    try {
      return await this.execute(() => timer.cancel());
    } finally {
      timer.cancel();
      job.signal.removeEventListener('abort', onCallerGone);
    }
  }

  /**
   * Sends the attempt and handles its answer. `onFirstEvent` cancels the
   * deadline timer, so that a stream that has begun is not cut off.
   */
  private async execute(onFirstEvent: () => void): Promise<AttemptResult> {
    const {context, job, agent, attemptId} = this.options;
    const reply = await context.transport.open({
      agent,
      attemptId,
      path: job.path,
      headers: this.headers(),
      body: job.body,
      signal: this.abortController.signal,
    });
    const firstResult = await this.handleResponse(reply, onFirstEvent);
    if (!this.canRecoverAnswer(firstResult)) return firstResult;
    return this.recoverAnswer(firstResult, onFirstEvent);
  }

  /**
   * Whether to fetch the answer of a failed attempt again. A request that may
   * not be repeated can't be retried, but its agent keeps the answer for a
   * while.
   */
  private canRecoverAnswer(result: AttemptResult): boolean {
    const {repeatable} = this.options.job.target.selector;
    return result.kind === 'failed' && !result.neverSent && !repeatable;
  }

  private async recoverAnswer(
    firstResult: AttemptResult,
    onFirstEvent: () => void,
  ): Promise<AttemptResult> {
    const {context, job, agent, attemptId} = this.options;
    const {resumeTries} = context.settings.attempts;
    const {signal} = this.abortController;
    const target = {agent, attemptId, requestId: job.requestId, signal};
    for (let tries = 0; tries < resumeTries && !signal.aborted; tries++) {
      await waitBeforeResume(context, tries);
      const reply = await context.transport.resume(target, 0);
      const result = await this.handleResponse(reply, onFirstEvent);
      context.logger.warn('answer-resume', {
        request: job.requestId,
        attempt: attemptId,
        agent: agent.vmId,
        result: result.kind,
      });
      if (result.kind === 'done') return result;
      // Sealing the attempt determines whether it started.
      if (result.kind === 'refused') break;
    }
    return firstResult;
  }

  private async handleResponse(
    reply: AttemptResponse,
    onFirstEvent: () => void,
  ): Promise<AttemptResult> {
    const {context, job, agent} = this.options;
    if (job.signal.aborted) return callerGone();
    if (reply.kind === 'failed') {
      return {...reply, reason: this.endReason(reply.reason)};
    }
    const digest = parseLoadDigest(reply.headers);
    if (digest) agent.applyDigest(digest, context.clock.nowMs());
    if (reply.kind === 'refused') return {kind: 'refused', refusal: reply};
    if (this.isEngineFailure(reply)) {
      reply.body.on('error', () => {}).resume();
      return this.failed(`status-${reply.status}`);
    }
    return reply.isStream && job.target.kind !== 'service'
      ? this.relay(reply, onFirstEvent)
      : this.collect(reply);
  }

  private async relay(
    reply: AttemptAnswer,
    onFirstEvent: () => void,
  ): Promise<AttemptResult> {
    const {context, job, agent, attemptId} = this.options;
    const relay = new StreamRelay({
      context,
      job,
      agent,
      attemptId,
      signal: this.abortController.signal,
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
    const result = await relay.run(reply);
    if (result.kind !== 'broken') return {kind: 'done', result};
    const reason = this.endReason(result.reason);
    if (!result.started) return this.failed(reason);
    return {kind: 'done', result: {kind: 'broken', reason}};
  }

  private async collect(reply: AttemptAnswer): Promise<AttemptResult> {
    const {context, job} = this.options;
    const {answerBytes} = context.settings.limits;
    const answer = await collectAnswer(reply, answerBytes);
    if (job.signal.aborted) return callerGone();
    if (typeof answer === 'string') return this.failed(this.endReason(answer));
    return {kind: 'done', result: {kind: 'answer', answer}};
  }

  /** A 5xx without the agent's outcome header comes from the engine. */
  private isEngineFailure(reply: AttemptAnswer): boolean {
    const {target} = this.options.job;
    if (target.kind === 'service' || !target.selector.repeatable) return false;
    return reply.status >= MIN_SERVER_ERROR_STATUS;
  }

  private failed(reason: string): AttemptResult {
    return {kind: 'failed', neverSent: false, reason};
  }

  /** `deadline` if the deadline aborted the attempt, else `reason`. */
  private endReason(reason: string): string {
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
      // A service call uses no KV cache, and agents reject a value of 0.
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

/**
 * Records a failure or a success for the ejection of agents. A refusal counts
 * as neither: the agent works but has no capacity.
 */
function recordOutcome(agent: AgentState, result: AttemptResult): void {
  if (result.kind === 'failed') agent.recordFailure();
  if (result.kind !== 'done') return;
  const {kind} = result.result;
  if (kind === 'broken') agent.recordFailure();
  if (kind === 'answer' || kind === 'streamed') agent.recordSuccess();
}
