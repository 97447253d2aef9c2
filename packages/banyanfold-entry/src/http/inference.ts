import type {IncomingMessage, ServerResponse} from 'node:http';
import {runRequest} from '../attempts/runRequest.js';
import type {EntryContext, EntryPlugin, NextStep} from '../context.js';
import {acceptRequest} from '../requests/acceptRequest.js';
import type {
  RequestMetadata,
  RequestJob,
  RequestResult,
} from '../requests/types.js';
import {ApiError, writeApiError} from './apiErrors.js';
import {CallerStream} from './callerStream.js';
import {readBody} from './readBody.js';
import {waitForFlush, type StallLimit} from './waitForFlush.js';

const OVERLOADED_RETRY_AFTER_MS = 1000;
/** Another entry can take the request at once. */
const SHUTDOWN_RETRY_AFTER_MS = 50;

/** A call to a model or a service. */
export interface InferenceCall {
  req: IncomingMessage;
  res: ServerResponse;
  path: string;
  readMetadata(body: Buffer): RequestMetadata;
}

/** Handles calls to models and services. */
export class InferenceHandler {
  constructor(
    private readonly context: EntryContext,
    private readonly plugins: readonly EntryPlugin[],
  ) {}

  async handle(call: InferenceCall): Promise<void> {
    const {callers, lifecycle, settings} = this.context;
    if (lifecycle.stoppedServing) {
      throw new ApiError('not_ready', 'this entry is shutting down', {
        retryAfterMs: SHUTDOWN_RETRY_AFTER_MS,
      });
    }
    const caller = callers.admit(call.req);
    lifecycle.requestOpened();
    try {
      if (lifecycle.openRequestCount > settings.limits.maxOpenRequests) {
        throw new ApiError('overloaded', 'too many requests are open here', {
          retryAfterMs: OVERLOADED_RETRY_AFTER_MS,
        });
      }
      await this.serve(call, caller.settings);
    } finally {
      caller.release();
      lifecycle.requestClosed();
    }
  }

  private async serve(
    {req, res, path, readMetadata}: InferenceCall,
    caller: Parameters<typeof acceptRequest>[1]['caller'],
  ): Promise<void> {
    const {context} = this;
    const startedMs = context.clock.nowMs();
    const callerStream = new CallerStream(res, this.stallLimit());
    const body = await readBody(req, context.settings.limits.bodyBytes);
    const metadata = readMetadata(body);
    const options = {
      req,
      caller,
      metadata,
      path,
      body,
      callerStream,
      startedMs,
    };
    const job = acceptRequest(context, options);
    const result = await this.run(job);
    this.logResult(job, result);
    await this.sendAnswer(res, job, result);
    for (const plugin of this.plugins) plugin.requestEnded?.(job, result);
  }

  private async run(job: RequestJob): Promise<RequestResult> {
    this.requireIdempotencyGuard(job);
    let next: NextStep = () => runRequest(this.context, job);
    for (const plugin of [...this.plugins].reverse()) {
      const inner = next;
      if (plugin.aroundRequest) {
        next = () => plugin.aroundRequest!(job, inner);
      }
    }
    try {
      return await next();
    } catch (error) {
      if (!(error instanceof ApiError)) throw error;
      return {kind: 'failed', error};
    }
  }

  /** Rejects a request that may not be repeated if no plug-in guards it. */
  private requireIdempotencyGuard(job: RequestJob): void {
    if (job.target.selector.repeatable) return;
    if (this.plugins.some(plugin => plugin.guardsNonRepeatable)) return;
    throw new ApiError('not_ready', 'this entry runs no idempotency plug-in');
  }

  private async sendAnswer(
    res: ServerResponse,
    job: RequestJob,
    result: RequestResult,
  ): Promise<void> {
    if (result.kind === 'failed') {
      writeApiError(res, result.error);
    } else if (result.kind === 'broken') {
      const message = `the answer broke off: ${result.reason}`;
      const options = {outcome: 'unknown'} as const;
      job.callerStream.abort(new ApiError('outcome_unknown', message, options));
    } else if (result.kind === 'answer' && !res.destroyed) {
      const {status, headers, body} = result.answer;
      res.writeHead(status, headers);
      res.end(body);
    }
    await waitForFlush(res, 'finish', this.stallLimit());
  }

  private stallLimit(): StallLimit {
    const {clock, settings} = this.context;
    return {clock, stallMs: settings.limits.callerStallMs};
  }

  private logResult(job: RequestJob, result: RequestResult): void {
    const {logger, clock} = this.context;
    const error = result.kind === 'failed' ? result.error : undefined;
    logger.info('request', {
      request: job.requestId,
      caller: job.caller,
      selector: job.target.selector.name,
      artifact: job.target.artifact,
      result: result.kind,
      code: error?.code,
      outcome: error?.outcome,
      attempts: job.attempts,
      tookMs: Math.round(clock.nowMs() - job.startedMs),
    });
  }
}
