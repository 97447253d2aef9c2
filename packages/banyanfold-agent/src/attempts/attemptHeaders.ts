import type {IncomingHttpHeaders} from 'node:http';
import {HEADERS} from '@banyanfold/protocol';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';

const SERVICES_PREFIX = 'services/';

const nonNegativeInteger = z.coerce.number().int().nonnegative();
const budgetMs = z.coerce.number().min(0).default(Number.POSITIVE_INFINITY);

const attemptHeadersSchema = z.object({
  attemptId: z.string().min(1).max(128),
  requestId: z.string().min(1).max(128),
  incarnation: z.coerce.number(),
  artifact: z.string().default(''),
  priority: nonNegativeInteger.default(5),
  firstTokenBudgetMs: budgetMs,
  wholeBudgetMs: budgetMs,
  promptTokens: nonNegativeInteger.default(0),
  maxTokens: nonNegativeInteger.default(0),
  prefixHash: z.string().default(''),
  kvBytesPerToken: z.coerce.number().int().positive().optional(),
  idempotencyKey: z.string().optional(),
});

const HEADER_BY_FIELD = {
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

/** Headers that an entry sends with an attempt. */
export type AttemptHeaders = z.infer<typeof attemptHeadersSchema>;

/** Describes the missing or invalid header for which an attempt is refused. */
export interface HeaderError {
  /** The attempt id as received, echoed in the refusal; empty if missing. */
  attemptId: string;
  message: string;
}

/** Parses an attempt's headers; the error names the first invalid one. */
export function parseAttemptHeaders(
  headers: IncomingHttpHeaders,
): Result<AttemptHeaders, HeaderError> {
  const fields = Object.entries(HEADER_BY_FIELD).map(([field, name]) => [
    field,
    headers[name],
  ]);
  const parsed = attemptHeadersSchema.safeParse(Object.fromEntries(fields));
  if (parsed.success) return ok(parsed.data);
  const [issue] = parsed.error.issues;
  const field = issue?.path[0] as keyof AttemptHeaders;
  return err({
    attemptId: String(headers[HEADERS.attemptId] ?? ''),
    message: `header ${HEADER_BY_FIELD[field]}: ${issue?.message}`,
  });
}

/**
 * Returns the request id that the engine receives. It consists of ids that the
 * entry sends again when it resumes, so a restarted agent can find the stream.
 * It contains the attempt id to keep two attempts of one request apart.
 *
 * @example engineRequestId({requestId: 'r1', attemptId: 'a1'}) // 'r1.a1'
 */
export function engineRequestId(
  ids: Pick<AttemptHeaders, 'requestId' | 'attemptId'>,
): string {
  return `${ids.requestId}.${ids.attemptId}`;
}

/** Splits `services/{service}/{path…}`; undefined for a model path. */
export function parseServicePath(
  path: string,
): {service: string; path: string} | undefined {
  if (!path.startsWith(SERVICES_PREFIX)) return undefined;
  const [service = '', ...rest] = path.slice(SERVICES_PREFIX.length).split('/');
  return {service, path: rest.join('/')};
}
