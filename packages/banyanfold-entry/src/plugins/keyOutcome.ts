import {createHash} from 'node:crypto';
import type {FinishedRun} from '@banyanfold/log';
import {z} from 'zod';
import {ApiError} from '../http/apiErrors.js';
import type {
  RequestJob,
  RequestResult,
  WholeAnswer,
} from '../requests/types.js';

const UNKNOWN_STATUS = 502;
const STREAMED_STATUS = 200;

/** What is kept of a run with its key, in the body of the log's record. */
const keptOutcomeSchema = z.object({
  /** Tells the request that the key was first used for. */
  fingerprint: z.string(),
  outcome: z.enum(['finished', 'unknown']),
  contentType: z.string().default('application/json'),
  /** Base64; left out when the answer was streamed or too large. */
  body: z.string().optional(),
});

type KeptOutcome = z.infer<typeof keptOutcomeSchema>;

/** The record of a run, or undefined when nothing of it is to be kept. */
export function toFinishedRun(
  job: RequestJob,
  result: RequestResult,
  bodyLimitBytes: number,
): FinishedRun {
  const fingerprint = fingerprintOf(job);
  if (result.kind === 'answer') {
    const {status, headers, body} = result.answer;
    return encode(status, {
      fingerprint,
      outcome: 'finished',
      contentType: headers['content-type'] ?? 'application/json',
      body: body.length <= bodyLimitBytes ? body.toString('base64') : undefined,
    });
  }
  const streamed = result.kind === 'streamed';
  return encode(streamed ? STREAMED_STATUS : UNKNOWN_STATUS, {
    fingerprint,
    outcome: streamed ? 'finished' : 'unknown',
    contentType: '',
  });
}

/**
 * The answer to another caller of a finished key.
 *
 * A key that two requests share by mistake must not hand one's answer to the
 * other, so the fingerprint of caller, path and body has to agree.
 *
 * @throws ApiError when there is no answer that may be given.
 */
export function recordedAnswer(job: RequestJob, run: FinishedRun): WholeAnswer {
  const kept = decode(run.body);
  if (kept && kept.fingerprint !== fingerprintOf(job)) {
    throw new ApiError('key_reused', 'the key was used for another request');
  }
  if (kept?.outcome === 'unknown') throw outcomeUnknownError();
  if (kept?.body === undefined) {
    throw new ApiError(
      'key_already_finished',
      `it ran already, with status ${run.status}; its answer isn't kept`,
      {outcome: 'unknown'},
    );
  }
  const body = Buffer.from(kept.body, 'base64');
  return {
    status: run.status,
    headers: {
      'content-type': kept.contentType,
      'content-length': String(body.length),
    },
    body,
  };
}

export function outcomeUnknownError(): ApiError {
  return new ApiError(
    'key_outcome_unknown',
    'it was dispatched already and its outcome is not known; it will not run ' +
      'again under this key',
    {outcome: 'unknown'},
  );
}

function fingerprintOf(job: RequestJob): string {
  return createHash('sha256')
    .update(JSON.stringify([job.caller, job.path]))
    .update(job.body)
    .digest('hex');
}

function encode(status: number, kept: KeptOutcome): FinishedRun {
  return {status, body: JSON.stringify(kept)};
}

function decode(text: string | undefined): KeptOutcome | undefined {
  if (text === undefined) return undefined;
  try {
    return keptOutcomeSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
