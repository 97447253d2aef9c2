import {MIN_RETRY_AFTER_MS} from '@banyanfold/decisions';
import {ERROR_STATUS, sendErrorResponse} from './errorResponse.js';
import type {RequestState} from './requestState.js';
import {chooseRetryAfterMs} from './retryAfter.js';

/** Outcomes of requests that no runner had a place for. */
const NO_PLACE_OUTCOMES: ReadonlySet<string> = new Set([
  'queue',
  'no-place',
  'no-place-in-time',
]);

/** Ends a request: by an answer, a refusal or a closed connection. */
export class RequestEnding {
  constructor(private readonly state: RequestState) {}

  /** Refuses a request that has not run, with a delay that fits its deadline. */
  refuse(reason: string): void {
    const {random} = this.state.options.context;
    const retryAfterMs = chooseRetryAfterMs(this.state.leftMs, random);
    this.respond(ERROR_STATUS.notRun, reason, retryAfterMs);
  }

  refuseIfNotStarted(reason: string): void {
    const {state} = this;
    if (state.isFinished || state.mayHaveStarted) return;
    // An attempt that waits for its connection would be sent after the refusal.
    state.relay.cancel();
    this.refuse(reason);
  }

  respond(status: number, reason: string, retryAfterMs?: number): void {
    const {response, context} = this.state.options;
    // Also if an attempt was cancelled while it waited for its connection.
    if (status === ERROR_STATUS.notRun) this.state.usageCharge.refund();
    this.finish(reason, status);
    sendErrorResponse(
      response,
      {status, reason, retryAfterMs},
      context.isDraining(),
    );
  }

  /** Ends a request that may have run and can't be retried. */
  endWithoutAnswer(): void {
    if (this.state.relay.hasStarted) this.cut('cut');
    else this.respond(ERROR_STATUS.unknown, 'runner-failed');
  }

  /**
   * Ends the request so that the memory held for it is freed: a response that
   * has begun is cut off, because it can't be replaced by an error.
   */
  endToFreeMemory(): void {
    const {state} = this;
    const wasSent = state.relay.cancel();
    if (state.options.response.headersSent) this.cut('gave-way');
    else if (wasSent || state.mayHaveRun) {
      this.respond(ERROR_STATUS.unknown, 'memory');
    } else {
      this.refuse('memory');
    }
  }

  /** Closes the connection of a response that can't be completed. */
  cut(outcome: string): void {
    this.state.options.response.destroy();
    this.finish(outcome, 0);
  }

  endAtDeadline(): void {
    const {state} = this;
    if (state.isFinished) return;
    const wasSent = state.relay.cancel();
    if (state.relay.hasStarted) return this.cut('cut-at-deadline');
    if (wasSent || state.mayHaveRun) {
      this.respond(ERROR_STATUS.timeout, 'timeout');
    } else {
      this.respond(ERROR_STATUS.notRun, 'no-copy-in-time', MIN_RETRY_AFTER_MS);
    }
  }

  finish(outcome: string, status: number): void {
    const {state} = this;
    if (state.isFinished) return;
    state.isFinished = true;
    state.permits.end();
    // Every attempt was rejected or reached no runner, so nothing has run.
    if (state.sendCount <= state.rejections) state.usageCharge.refund();
    state.clearWaiting();
    state.promptTurn?.release();
    state.admittedWork?.end(NO_PLACE_OUTCOMES.has(outcome));
    state.pause.wake();
    const {context, route} = state.options;
    const {kind} = route;
    context.metrics.count('requests_total', {kind, outcome});
    const {firstByteMs, longestPauseMs} = state.relay;
    if (firstByteMs !== undefined) {
      context.metrics.observeMs('first_byte_ms', firstByteMs, {kind});
    }
    if (longestPauseMs !== undefined) {
      context.metrics.observeMs('stream_pause_ms', longestPauseMs, {kind});
    }
    state.log.end(outcome, status, state.counts, {firstByteMs, longestPauseMs});
  }
}
