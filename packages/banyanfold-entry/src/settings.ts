import {DEFAULT_CLAIM_WINDOW} from '@banyanfold/log';
import {z} from 'zod';

const callerSchema = z.strictObject({
  name: z.string().min(1),
  key: z.string().min(1),
  /** The desk of requests that don't name one. */
  desk: z.string().default(''),
  /** Other desks that its requests may name in a header. */
  otherDesks: z.array(z.string()).default([]),
  maxConcurrent: z.number().int().positive().default(256),
});

const tlsSchema = z.strictObject({certPath: z.string(), keyPath: z.string()});

const limitsSchema = z.strictObject({
  bodyBytes: z.number().int().positive().default(8_388_608),
  /** How long a caller may take to send its request headers. */
  headerMs: z.number().positive().default(10_000),
  /** How long a caller may take to send its whole request. */
  requestMs: z.number().positive().default(60_000),
  /**
   * Must exceed the load balancer's idle timeout; otherwise the balancer may
   * reuse a connection that is being closed, and the call is lost.
   */
  idleConnectionMs: z.number().positive().default(75_000),
  /** How long a caller may read nothing of its response. */
  callerStallMs: z.number().positive().default(30_000),
  maxOpenRequests: z.number().int().positive().default(2_000),
  /** The largest non-streamed answer that is buffered in memory. */
  answerBytes: z.number().int().positive().default(33_554_432),
  /** The largest event of a stream. */
  eventBytes: z.number().int().positive().default(1_048_576),
});

const attemptsSchema = z.strictObject({
  connectMs: z.number().positive().default(500),
  sealMs: z.number().positive().default(500),
  /** A stream without an event for this long is treated as broken. */
  streamIdleMs: z.number().positive().default(10_000),
  /** How long an agent may take to answer a request to resume a stream. */
  resumeMs: z.number().positive().default(1_000),
  /** Tries without progress; a restarting agent is available in seconds. */
  resumeTries: z.number().int().min(0).default(9),
  resumeBackoffMs: z.number().positive().default(100),
  resumeBackoffMaxMs: z.number().positive().default(1_000),
  connectionsPerAgent: z.number().int().positive().default(256),
});

const retrySchema = z.strictObject({
  /** Retry tokens that each request adds to the budget. */
  budgetRatio: z.number().min(0).default(0.1),
  budgetMaxTokens: z.number().positive().default(20),
});

const plannerSchema = z.strictObject({
  enabled: z.boolean().default(true),
  intervalMs: z.number().positive().default(1_000),
  loadsPerSecond: z.number().positive().default(1),
  loadsAtOnce: z.number().int().positive().default(4),
  attainmentWeight: z.number().min(0).default(1),
  moveWeight: z.number().min(0).default(20),
  /**
   * Gives the latest second a weight of one tenth, the smoothing with which
   * the placement decisions were measured.
   */
  demandHalfLifeMs: z.number().positive().default(6_579),
});

const fieldsSchema = z.strictObject({
  vmId: z.string().min(1),
  host: z.string(),
  port: z.number().int().min(0),
  region: z.string(),
  failureDomain: z.string(),
  internalKey: z.string().min(1),
  operatorKey: z.string().min(1),
  platform: z.strictObject({logUrl: z.string(), vmListUrl: z.string()}),
  callers: z.array(callerSchema),
  tls: tlsSchema.optional(),
  limits: limitsSchema.prefault({}),
  attempts: attemptsSchema.prefault({}),
  retry: retrySchema.prefault({}),
  planner: plannerSchema.prefault({}),
  plugins: z
    .array(z.string())
    .default(['metrics', 'ejection', 'idempotency', 'planner']),
  vmListIntervalMs: z.number().positive().default(1_000),
  reportIntervalMs: z.number().positive().default(500),
  reportTimeoutMs: z.number().positive().default(1_000),
  /** Consecutive failed reports after which an agent is unreachable. */
  unreachableAfter: z.number().int().positive().default(3),
  ejectionIntervalMs: z.number().positive().default(2_000),
  /** One entry sees few outcomes of each runner, so they decay slowly. */
  outcomeHalfLifeMs: z.number().positive().default(15_000),
  /**
   * From failing readiness to closing the listener, so that the load balancer
   * stops sending first.
   */
  drainNoticeMs: z.number().min(0).default(2_000),
  drainBoundMs: z.number().positive().default(120_000),
  /**
   * How long a starting entry waits for the log before it serves by the
   * configuration of its peers.
   */
  configLogWaitMs: z.number().positive().default(3_000),
  /** How long the platform's log retains a record. */
  logRetentionMs: z.number().positive().default(3_600_000),
  /** Older keys are rejected; the log must retain records for longer. */
  keyHorizonMs: z.number().positive().default(1_800_000),
  /** The largest answer that is stored with a finished key. */
  keyBodyBytes: z.number().int().min(0).default(16_384),
});

/** Schema of an entry's settings, which are written in JSON with comments. */
export const entrySettingsSchema = fieldsSchema
  .refine(
    ({callers, internalKey, operatorKey}) =>
      areDistinct([internalKey, operatorKey, ...callers.map(({key}) => key)]),
    {path: ['callers'], message: 'a key is used twice; give each its own'},
  )
  .refine(
    ({keyHorizonMs, logRetentionMs}) =>
      keyHorizonMs + DEFAULT_CLAIM_WINDOW.maxAheadMs < logRetentionMs,
    {
      path: ['keyHorizonMs'],
      message:
        'the log must keep records for longer than a key may be old; lower ' +
        'keyHorizonMs, or set logRetentionMs to what the log really keeps',
    },
  );

export type EntrySettings = z.output<typeof entrySettingsSchema>;
export type EntrySettingsInput = z.input<typeof entrySettingsSchema>;
export type CallerSettings = z.output<typeof callerSchema>;

function areDistinct(texts: readonly string[]): boolean {
  return new Set(texts).size === texts.length;
}
