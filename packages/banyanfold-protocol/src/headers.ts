/** Header names between entry and agent, and towards callers. */
export const HEADERS = {
  attemptId: 'x-banyanfold-attempt-id',
  requestId: 'x-banyanfold-request-id',
  incarnation: 'x-banyanfold-incarnation',
  artifact: 'x-banyanfold-artifact',
  priority: 'x-banyanfold-priority',
  firstTokenBudgetMs: 'x-banyanfold-first-token-budget-ms',
  wholeBudgetMs: 'x-banyanfold-whole-budget-ms',
  promptTokens: 'x-banyanfold-prompt-tokens',
  maxTokens: 'x-banyanfold-max-tokens',
  prefixHash: 'x-banyanfold-prefix-hash',
  /** KV cache that one token of this model takes, for the reservation. */
  kvBytesPerToken: 'x-banyanfold-kv-bytes',
  load: 'x-banyanfold-load',
  outcome: 'x-banyanfold-outcome',
  lastEventId: 'last-event-id',
  retryAfter: 'retry-after',
  /** The same in milliseconds; the usual client libraries read it first. */
  retryAfterMs: 'retry-after-ms',
  /** `false` tells the usual client libraries not to repeat the request. */
  shouldRetry: 'x-should-retry',
  desk: 'x-banyanfold-desk',
  idempotencyKey: 'idempotency-key',
} as const;

/** Paths that processes of the system serve to each other. */
export const PATHS = {
  attempt: '/attempt/',
  trpc: '/trpc',
} as const;

/** Whether a refused request had any effect. */
export type Outcome = 'not-run' | 'unknown';
