/** Names of headers between entries and agents, and in answers to callers. */
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
  /** Bytes of KV cache for each token of the model, for the reservation. */
  kvBytesPerToken: 'x-banyanfold-kv-bytes',
  load: 'x-banyanfold-load',
  outcome: 'x-banyanfold-outcome',
  lastEventId: 'last-event-id',
  retryAfter: 'retry-after',
  /** `retry-after` in ms; common client libraries read it first. */
  retryAfterMs: 'retry-after-ms',
  /** `false` prevents common client libraries from retrying the request. */
  shouldRetry: 'x-should-retry',
  desk: 'x-banyanfold-desk',
  idempotencyKey: 'idempotency-key',
} as const;

/** Paths of internal interfaces. */
export const PATHS = {
  attempt: '/attempt/',
  trpc: '/trpc',
} as const;

/** Whether a refused request may have been executed. */
export type Outcome = 'not-run' | 'unknown';
