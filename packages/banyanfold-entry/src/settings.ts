import {DEFAULT_CLAIM_WINDOW} from '@banyanfold/log';
import {z} from 'zod';

const callerSchema = z.strictObject({
  name: z.string().min(1),
  key: z.string().min(1),
  /** The desk of requests that name none. */
  desk: z.string().default(''),
  /** Desks that its requests may name instead, by header. */
  otherDesks: z.array(z.string()).default([]),
  maxConcurrent: z.number().int().positive().default(256),
});

const tlsSchema = z.strictObject({certPath: z.string(), keyPath: z.string()});

const limitsSchema = z.strictObject({
  bodyBytes: z.number().int().positive().default(8_388_608),
  /** How long a caller may take to send its request's head. */
  headerMs: z.number().positive().default(10_000),
  /** How long a caller may take to send its whole request. */
  requestMs: z.number().positive().default(60_000),
  /** Longer than a balancer keeps its own connections, or calls are lost. */
  idleConnectionMs: z.number().positive().default(75_000),
  /** How long a caller may take nothing of its answer. */
  callerStallMs: z.number().positive().default(30_000),
  maxOpenRequests: z.number().int().positive().default(2_000),
  /** A whole answer that isn't streamed is kept in memory up to this. */
  answerBytes: z.number().int().positive().default(33_554_432),
  /** One event of a stream. */
  eventBytes: z.number().int().positive().default(1_048_576),
});

const attemptsSchema = z.strictObject({
  connectMs: z.number().positive().default(500),
  sealMs: z.number().positive().default(500),
  /** A stream with no event for so long counts as broken. */
  streamIdleMs: z.number().positive().default(10_000),
  /** How long an agent may take to answer that it resumes a stream. */
  resumeMs: z.number().positive().default(1_000),
  /** Tries without progress; an agent that restarts is back in seconds. */
  resumeTries: z.number().int().min(0).default(9),
  resumeBackoffMs: z.number().positive().default(100),
  resumeBackoffMaxMs: z.number().positive().default(1_000),
  connectionsPerAgent: z.number().int().positive().default(256),
});

const retrySchema = z.strictObject({
  /** Retry tokens that each request adds. */
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
  /** A new second counts for a tenth, as where the decisions were measured. */
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
  /** Failed reports in a row after which an agent counts as unreachable. */
  unreachableAfter: z.number().int().positive().default(3),
  ejectionIntervalMs: z.number().positive().default(2_000),
  /** One entry sees few outcomes of each runner, so they count for long. */
  outcomeHalfLifeMs: z.number().positive().default(15_000),
  /** From failing readiness to closing the listener, for the balancer. */
  drainNoticeMs: z.number().min(0).default(2_000),
  drainBoundMs: z.number().positive().default(120_000),
  /** How long a starting entry waits for the log while peers have answered. */
  configLogWaitMs: z.number().positive().default(3_000),
  /** How long the platform's log keeps a record. */
  logRetentionMs: z.number().positive().default(3_600_000),
  /** Keys older than this are refused; the log must keep records longer. */
  keyHorizonMs: z.number().positive().default(1_800_000),
  /** The largest answer that is kept with a finished key. */
  keyBodyBytes: z.number().int().min(0).default(16_384),
});

/** Settings of an entry, written in JSON with comments. */
export const entrySettingsSchema = fieldsSchema
  .refine(
    ({callers, internalKey, operatorKey}) =>
      distinct([internalKey, operatorKey, ...callers.map(({key}) => key)]),
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

function distinct(texts: readonly string[]): boolean {
  return new Set(texts).size === texts.length;
}
