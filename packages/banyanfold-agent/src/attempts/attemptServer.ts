import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Dispatcher} from 'undici';
import {
  parseAttemptHeaders,
  parseServicePath,
  type AttemptHeaders,
} from './attemptHeaders.js';
import type {AttemptContext} from './attemptContext.js';
import {ModelAttempt} from './modelAttempt.js';
import {readBody, type BodyError} from '../http/readBody.js';
import {sendRefusal, type Refusal, type RefusalCode} from './refusal.js';
import {runServiceAttempt, serviceUrl} from './serviceAttempt.js';
import {parseJsonObject} from './wholeResponse.js';
import {ENGINE_RESPONSE_LOST} from './engineRejection.js';

const MODEL_PATHS = new Set(['v1/chat/completions', 'v1/completions']);
const LEAVING_RETRY_AFTER_MS = 250;
const NOT_HELD_RETRY_AFTER_MS = 1_000;

const BODY_REFUSALS: Record<BodyError, Refusal> = {
  'too-large': notRun('body-too-large', 'the body is too large'),
  incomplete: notRun('bad-request', 'the body broke off'),
};

interface Attempt {
  path: string;
  headers: AttemptHeaders;
  req: IncomingMessage;
  res: ServerResponse;
}

/** Receives attempts, checks and admits them, and forwards them. */
export class AttemptServer {
  private serviceCalls = 0;

  constructor(
    private readonly context: AttemptContext,
    private readonly serviceDispatcher: Dispatcher,
  ) {}

  /** Handles `POST /attempt/{path}`. */
  async handle(
    path: string,
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const parsedHeaders = parseAttemptHeaders(req.headers);
    if (parsedHeaders.isErr()) {
      const {attemptId, message} = parsedHeaders.error;
      this.refuse(res, attemptId, notRun('bad-request', message));
      return;
    }
    const headers = parsedHeaders.value;
    const attempt: Attempt = {path, headers, req, res};
    const refusal = this.findRefusal(attempt);
    if (refusal) {
      this.refuse(res, headers.attemptId, refusal);
      return;
    }
    this.watchWaitingAttempt(attempt);
    const body = await readBody(req, this.context.settings.maxBodyBytes);
    // It may have been sealed or disconnected while its body was received.
    if (!this.context.registry.isWaiting(headers.attemptId)) return;
    if (body.isErr()) {
      this.reject(attempt, BODY_REFUSALS[body.error]);
      return;
    }
    const service = parseServicePath(path);
    if (service) await this.callService(attempt, service, body.value);
    else this.enqueue(attempt, body.value);
  }

  /** Applies the checks in order; registers the attempt if all others pass. */
  private findRefusal({path, headers}: Attempt): Refusal | undefined {
    const {context} = this;
    const {attemptId, incarnation, artifact} = headers;
    if (!context.isOwnIncarnation(incarnation)) {
      return notRun('wrong-incarnation', 'meant for an earlier process here');
    }
    if (context.registry.isSealed(attemptId)) {
      return notRun('sealed', 'the attempt was sealed before it came');
    }
    if (context.isLeaving()) {
      return notRun('leaving', 'this server leaves', LEAVING_RETRY_AFTER_MS);
    }
    const isModelPath = MODEL_PATHS.has(path);
    if (!isModelPath && !parseServicePath(path)) {
      return notRun('bad-request', 'no such path');
    }
    if (isModelPath && !context.ledger.canServe(artifact)) {
      const message = `${artifact} is not held here`;
      return notRun('not-held', message, NOT_HELD_RETRY_AFTER_MS);
    }
    if (context.registry.begin(attemptId) === 'duplicate') {
      const message = 'this attempt came before; its outcome is its own';
      return {code: 'duplicate-attempt', outcome: 'unknown', message};
    }
    return undefined;
  }

  /** Refuses a waiting attempt once it is sealed; a disconnect seals it. */
  private watchWaitingAttempt(attempt: Attempt): void {
    const {registry} = this.context;
    const {attemptId} = attempt.headers;
    registry.onSeal(attemptId, () => {
      this.refuse(attempt.res, attemptId, notRun('sealed', 'sealed'));
    });
    attempt.res.on('close', () => {
      if (registry.isWaiting(attemptId)) registry.seal(attemptId);
    });
  }

  private enqueue(attempt: Attempt, rawBody: Buffer): void {
    const {context} = this;
    const {headers, res, path} = attempt;
    const {attemptId, artifact, priority, firstTokenBudgetMs} = headers;
    const parsed = parseJsonObject(rawBody);
    if (!parsed) {
      this.reject(attempt, notRun('bad-request', 'the body is no JSON object'));
      return;
    }
    const body = {...parsed, model: artifact};
    context.ledger.beginUse(artifact);
    const endUse = () => context.ledger.endUse(artifact);
    context.registry.onSeal(attemptId, () => {
      endUse();
      context.queue.remove(attemptId);
      this.refuse(res, attemptId, notRun('sealed', 'sealed while it waited'));
    });
    context.queue.submit({
      attemptId,
      artifact,
      priority,
      firstTokenBudgetMs,
      kvBytes: this.requiredKvBytes(headers),
      refuse: refusal => {
        endUse();
        this.reject(attempt, refusal);
      },
      start: () => {
        context.registry.dispatch(attemptId);
        this.runAttempt(new ModelAttempt(context, {path, headers, body, res}));
      },
    });
  }

  private runAttempt(attempt: ModelAttempt): void {
    attempt.run().catch((error: unknown) => {
      // Otherwise an internal error would occupy the slot forever.
      this.context.logger.error('attempt-failed', {error: String(error)});
      return attempt.finishUnknown(ENGINE_RESPONSE_LOST);
    });
  }

  private async callService(
    attempt: Attempt,
    {service, path}: {service: string; path: string},
    body: Buffer,
  ): Promise<void> {
    const {settings, registry} = this.context;
    const {headers, req, res} = attempt;
    const targetService = settings.services.find(({name}) => name === service);
    if (!targetService) {
      this.reject(attempt, notRun('unknown-service', `no ${service} here`));
      return;
    }
    const url = serviceUrl(targetService.url, path);
    if (!url) {
      this.reject(attempt, notRun('bad-request', 'no path of the service'));
      return;
    }
    if (this.serviceCalls >= settings.maxServiceCalls) {
      this.reject(attempt, notRun('busy', 'too many calls are open', 1_000));
      return;
    }
    registry.dispatch(headers.attemptId);
    this.serviceCalls++;
    try {
      await runServiceAttempt(this.context, this.serviceDispatcher, {
        url,
        headers,
        incoming: req.headers,
        body,
        res,
      });
    } finally {
      this.serviceCalls--;
    }
  }

  private requiredKvBytes(headers: AttemptHeaders): number {
    const {settings, kvBytesPerToken} = this.context;
    const perToken =
      headers.kvBytesPerToken ??
      kvBytesPerToken(headers.artifact) ??
      settings.memory.kvBytesPerToken;
    return perToken * (headers.promptTokens + headers.maxTokens);
  }

  /** Refuses a registered attempt that has not been sent. */
  private reject(attempt: Attempt, refusal: Refusal): void {
    const {attemptId} = attempt.headers;
    this.context.registry.refuse(attemptId);
    this.refuse(attempt.res, attemptId, refusal);
  }

  private refuse(res: ServerResponse, attemptId: string, refusal: Refusal) {
    const {metrics, logger} = this.context;
    const {code, outcome} = refusal;
    metrics.count('agent_refusals_total', {code, outcome});
    logger.info('refuse', {attempt: attemptId, code, outcome});
    const load = this.context.loadHeader();
    sendRefusal(res, refusal, {attemptId, load});
  }
}

function notRun(
  code: RefusalCode,
  message: string,
  retryAfterMs?: number,
): Refusal {
  return {code, outcome: 'not-run', message, retryAfterMs};
}
