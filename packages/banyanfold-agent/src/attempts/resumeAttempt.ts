import type {ServerResponse} from 'node:http';
import type {AttemptContext} from './attemptContext.js';
import {engineRequestId} from './attemptHeaders.js';
import {writeStreamHeaders} from './responseHeaders.js';
import {sendRefusal, type Refusal} from './refusal.js';
import {EngineStreamReader} from './engineStreamReader.js';
import {StreamBuffer} from './streamBuffer.js';

/** An entry that comes back for its answer. */
export interface ResumeInput {
  attemptId: string;
  requestId: string;
  afterSeq: number;
  res: ServerResponse;
}

/**
 * Gives an entry the rest of an answer: from what is kept here, or else, as
 * after a restart of this process, from the engine.
 */
export async function resumeAttempt(
  context: AttemptContext,
  input: ResumeInput,
): Promise<void> {
  const {attemptId, afterSeq, res} = input;
  const kept = context.registry.responseOf(attemptId);
  const isKept = kept?.attach(res, afterSeq) ?? false;
  context.logger.info('resume', {attempt: attemptId, afterSeq, kept: isKept});
  if (isKept) return;
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
  const first = await engine.resume(engineId, afterSeq, abort.signal);
  if (first.isErr() || first.value.statusCode !== 200) {
    if (first.isOk()) await first.value.body.dump().catch(() => {});
    refuse();
    return;
  }
  const record = new StreamBuffer({
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
    context.registry.retainResponse(attemptId, record);
  }
  record.attach(res, afterSeq);
  const pump = new EngineStreamReader({
    engine,
    clock,
    logger,
    metrics,
    attemptId,
    engineRequestId: engineId,
    callerRequestId: requestId,
    sink: record,
    signal: abort.signal,
    maxResumes: settings.engine.maxResumes,
    retryDelayMs: settings.engine.retryDelayMs,
    startSeq: afterSeq,
  });
  const isWhole = await pump.run(first.value);
  if (isWhole) record.complete();
  else record.fail();
  if (isNew) {
    context.registry.finish(attemptId);
    clock.setTimer(settings.resumeWindowMs, () =>
      context.registry.dropResponse(attemptId),
    );
  }
  if (!isWhole && isNew) await canceller.cancel(engineId);
}
