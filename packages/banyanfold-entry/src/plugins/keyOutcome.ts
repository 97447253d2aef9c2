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

/** The outcome of a run, stored as the body of its key's log record. */
const recordedOutcomeSchema = z.object({
  /** Identifies the request that the key was first used for. */
  fingerprint: z.string(),
  outcome: z.enum(['finished', 'unknown']),
  contentType: z.string().default('application/json'),
  /** Base64; omitted if the answer was streamed or is too large. */
  body: z.string().optional(),
});

type RecordedOutcome = z.infer<typeof recordedOutcomeSchema>;

/** Encodes the outcome of a run; bodies over the limit are omitted. */
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
 * Returns the recorded answer for another call with a finished key.
 *
 * Two different requests that use one key by mistake must not receive each
 * other's answer, so the fingerprint of caller, path and body must match.
 *
 * @throws ApiError if the key was used for another request, the outcome is
 *     unknown or the answer wasn't stored.
 */
export function recordedAnswer(job: RequestJob, run: FinishedRun): WholeAnswer {
  const recorded = decode(run.body);
  if (recorded && recorded.fingerprint !== fingerprintOf(job)) {
    throw new ApiError('key_reused', 'the key was used for another request');
  }
  if (recorded?.outcome === 'unknown') throw outcomeUnknownError();
  if (recorded?.body === undefined) {
    throw new ApiError(
      'key_already_finished',
      `it ran already, with status ${run.status}; its answer isn't kept`,
      {outcome: 'unknown'},
    );
  }
  const body = Buffer.from(recorded.body, 'base64');
  return {
    status: run.status,
    headers: {
      'content-type': recorded.contentType,
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

function encode(status: number, recorded: RecordedOutcome): FinishedRun {
  return {status, body: JSON.stringify(recorded)};
}

function decode(text: string | undefined): RecordedOutcome | undefined {
  if (text === undefined) return undefined;
  try {
    return recordedOutcomeSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
