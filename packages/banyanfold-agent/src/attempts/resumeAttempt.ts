import type {ServerResponse} from 'node:http';
import type {AttemptContext} from './attemptContext.js';
import {engineRequestId} from './attemptHeaders.js';
import {writeStreamHeaders} from './responseHeaders.js';
import {sendRefusal, type Refusal} from './refusal.js';
import {EngineStreamReader} from './engineStreamReader.js';
import {StreamBuffer} from './streamBuffer.js';

/** An entry's request to resume a response. */
export interface ResumeInput {
  attemptId: string;
  requestId: string;
  afterSeq: number;
  res: ServerResponse;
}

/**
 * Sends an entry the rest of a response: the retained events if there are any,
 * otherwise, for example after a restart of this process, the engine's stream.
 */
export async function resumeAttempt(
  context: AttemptContext,
  input: ResumeInput,
): Promise<void> {
  const {attemptId, afterSeq, res} = input;
  const retained = context.registry.responseOf(attemptId);
  const isRetained = retained?.attach(res, afterSeq) ?? false;
  context.logger.info('resume', {
    attempt: attemptId,
    afterSeq,
    kept: isRetained,
  });
  if (isRetained) return;
  if (context.registry.isSealed(attemptId)) {
    refuse('sealed', 'not-run', 'the attempt was given up before it started');
    return;
  }
  if (!input.requestId) {
    refuse('unknown-attempt', 'unknown', 'the answer is not kept');
    return;
  }
  await resumeAtEngine(context, input, () =>
    refuse('unknown-attempt', 'unknown', 'the engine has no such stream'),
  );

  function refuse(
    code: Refusal['code'],
    outcome: Refusal['outcome'],
    message: string,
  ): void {
    const load = context.loadHeader();
    sendRefusal(res, {code, outcome, message}, {attemptId, load});
  }
}

async function resumeAtEngine(
  context: AttemptContext,
  input: ResumeInput,
  refuse: () => void,
): Promise<void> {
  const {settings, clock, engine, logger, metrics, canceller} = context;
  const {attemptId, requestId, afterSeq, res} = input;
  const abort = new AbortController();
  const engineId = engineRequestId({requestId, attemptId});
  const resumed = await engine.resume(engineId, afterSeq, abort.signal);
  if (resumed.isErr() || resumed.value.statusCode !== 200) {
    if (resumed.isOk()) await resumed.value.body.dump().catch(() => {});
    refuse();
    return;
  }
  const buffer = new StreamBuffer({
    attemptId,
    clock,
    resumeWindowMs: settings.resumeWindowMs,
    maxBytes: settings.retention.bytesPerAttempt,
    startSeq: afterSeq,
    writeHead: response => writeStreamHeaders(response, attemptId, context),
    onAbandoned: () => abort.abort(),
  });
  const isNew = context.registry.begin(attemptId) === 'begun';
  if (isNew) {
    context.registry.dispatch(attemptId);
    context.registry.retainResponse(attemptId, buffer);
  }
  buffer.attach(res, afterSeq);
  const streamReader = new EngineStreamReader({
    engine,
    clock,
    logger,
    metrics,
    attemptId,
    engineRequestId: engineId,
    callerRequestId: requestId,
    sink: buffer,
    signal: abort.signal,
    maxEventMs: settings.engine.wholeAnswerTimeoutMs,
    maxResumes: settings.engine.maxResumes,
    retryDelayMs: settings.engine.retryDelayMs,
    startSeq: afterSeq,
  });
  const isComplete = await streamReader.run(resumed.value);
  if (isComplete) buffer.complete();
  else buffer.fail();
  if (isNew) {
    context.registry.finish(attemptId);
    clock.setTimer(settings.resumeWindowMs, () =>
      context.registry.dropResponse(attemptId),
    );
  }
  if (!isComplete && isNew) await canceller.cancel(engineId);
}
