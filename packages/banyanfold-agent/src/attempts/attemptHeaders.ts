import type {IncomingHttpHeaders} from 'node:http';
import {HEADERS} from '@banyanfold/protocol';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';

const SERVICES_PREFIX = 'services/';

const wholeNumber = z.coerce.number().int().nonnegative();
const budgetMs = z.coerce.number().min(0).default(Number.POSITIVE_INFINITY);

const attemptHeadersSchema = z.object({
  attemptId: z.string().min(1).max(128),
  requestId: z.string().min(1).max(128),
  incarnation: z.coerce.number(),
  artifact: z.string().default(''),
  priority: wholeNumber.default(5),
  firstTokenBudgetMs: budgetMs,
  wholeBudgetMs: budgetMs,
  promptTokens: wholeNumber.default(0),
  maxTokens: wholeNumber.default(0),
  prefixHash: z.string().default(''),
  kvBytesPerToken: z.coerce.number().int().positive().optional(),
  idempotencyKey: z.string().optional(),
});

const HEADER_OF_FIELD = {
  attemptId: HEADERS.attemptId,
  requestId: HEADERS.requestId,
  incarnation: HEADERS.incarnation,
  artifact: HEADERS.artifact,
  priority: HEADERS.priority,
  firstTokenBudgetMs: HEADERS.firstTokenBudgetMs,
  wholeBudgetMs: HEADERS.wholeBudgetMs,
  promptTokens: HEADERS.promptTokens,
  maxTokens: HEADERS.maxTokens,
  prefixHash: HEADERS.prefixHash,
  kvBytesPerToken: HEADERS.kvBytesPerToken,
  idempotencyKey: HEADERS.idempotencyKey,
} as const satisfies Record<keyof AttemptHeaders, string>;

/** What an entry says about an attempt. */
export type AttemptHeaders = z.infer<typeof attemptHeadersSchema>;

/** A header that is missing or wrong, of an attempt that is refused for it. */
export interface HeaderError {
  /** The attempt's id as it was sent, for the echo; empty when there is none. */
  attemptId: string;
  message: string;
}

/** Reads an attempt's headers, or says which one is missing or wrong. */
export function parseAttemptHeaders(
  headers: IncomingHttpHeaders,
): Result<AttemptHeaders, HeaderError> {
  const fields = Object.entries(HEADER_OF_FIELD).map(([field, name]) => [
    field,
    headers[name],
  ]);
  const checked = attemptHeadersSchema.safeParse(Object.fromEntries(fields));
  if (checked.success) return ok(checked.data);
  const [issue] = checked.error.issues;
  const field = issue?.path[0] as keyof AttemptHeaders;
  return err({
    attemptId: String(headers[HEADERS.attemptId] ?? ''),
    message: `header ${HEADER_OF_FIELD[field]}: ${issue?.message}`,
  });
}

/**
 * The request id that the engine sees. It is made of ids that the entry sends
 * again when it resumes, so that a restarted agent finds the stream; and it has
 * the attempt in it, so that two attempts of one request can't be mixed up.
 *
 * @example engineRequestId({requestId: 'r1', attemptId: 'a1'}) // 'r1.a1'
 */
export function engineRequestId(
  ids: Pick<AttemptHeaders, 'requestId' | 'attemptId'>,
): string {
  return `${ids.requestId}.${ids.attemptId}`;
}

/** Splits `services/{service}/{path…}`; undefined for a model's path. */
export function parseServicePath(
  path: string,
): {service: string; path: string} | undefined {
  if (!path.startsWith(SERVICES_PREFIX)) return undefined;
  const [service = '', ...rest] = path.slice(SERVICES_PREFIX.length).split('/');
  return {service, path: rest.join('/')};
}
