import {z} from 'zod';

const GIB = 1024 ** 3;
const MIB = 1024 ** 2;

const durationMsSchema = z.number().int().nonnegative();
const countSchema = z.number().int().positive();

const engineSchema = z.strictObject({
  url: z.url(),
  /** Whether the engine rejects orders with an outdated fencing token. */
  checksFencing: z.boolean().default(false),
  /** The longest delay after which a sent order can still arrive. */
  orderLateBoundMs: durationMsSchema.default(30_000),
  requestTimeoutMs: durationMsSchema.default(2_000),
  /** An open stream without data for longer than this counts as broken. */
  streamIdleTimeoutMs: durationMsSchema.default(30_000),
  /**
   * The timeout until the start of a response that is not streamed, until its
   * end, and until the next event of a stream while other data arrives.
   */
  wholeAnswerTimeoutMs: durationMsSchema.default(300_000),
  /** The maximum number of attempts to resume a broken engine stream. */
  maxResumes: z.number().int().nonnegative().default(4),
  retryDelayMs: durationMsSchema.default(100),
});

const memorySchema = z.strictObject({
  /**
   * The share of accelerator memory that loads never use, so that requests
   * always have KV cache. It must not change across a restart of the agent.
   */
  kvFloorShare: z.number().min(0).max(0.9).default(0.1),
  /**
   * `shared`: KV cache and weights share the reported memory capacity.
   * `separate`: the engine reserves its KV cache and reports it separately.
   */
  kvPool: z.enum(['shared', 'separate']).default('shared'),
  kvBytesPerToken: countSchema.default(131_072),
  /** The longest time that a request from before a restart can still run. */
  inheritedBoundMs: durationMsSchema.default(600_000),
  /**
   * How long a copy from before a restart isn't retired, since pending
   * retirements of other copies may rely on it under its earlier id.
   */
  inheritedRetireHoldMs: durationMsSchema.default(120_000),
});

const retentionSchema = z.strictObject({
  /** The bytes of events kept per attempt; the oldest are dropped first. */
  bytesPerAttempt: countSchema.default(MIB),
  /** The bytes of events kept for all attempts whose stream has ended. */
  totalBytes: countSchema.default(GIB / 16),
  /** How long the id of a sealed or finished attempt is kept. */
  attemptIdMs: durationMsSchema.default(1_200_000),
  /**
   * How long after the start a seal without an incarnation isn't answered with
   * `never-started`, because the attempt may have run before a restart.
   */
  sealGraceMs: durationMsSchema.default(60_000),
});

/** Settings of the agent of one backend server. */
export const agentSettingsSchema = z.strictObject({
  vmId: z.string().min(1),
  host: z.string().default('127.0.0.1'),
  port: z.number().int().min(0).max(65_535).default(8410),
  region: z.string().default('default'),
  failureDomain: z.string().default('default'),
  runnerRole: z.string().default(''),
  internalKey: z.string().min(1),
  engine: engineSchema,
  services: z
    .array(z.strictObject({name: z.string().min(1), url: z.url()}))
    .default([]),
  platform: z.strictObject({
    logUrl: z.url(),
    /** The minimum time that the log keeps a record. */
    logRetentionMs: durationMsSchema.default(3_600_000),
  }),
  maxRunning: countSchema.default(16),
  maxQueued: z.number().int().nonnegative().default(64),
  maxServiceCalls: countSchema.default(64),
  maxBodyBytes: countSchema.default(64 * MIB),
  /** The longest answer that is not streamed; entries forward no longer one. */
  maxAnswerBytes: countSchema.default(32 * MIB),
  serviceTimeoutMs: durationMsSchema.default(60_000),
  /** How long a disconnected caller may resume its stream. */
  resumeWindowMs: durationMsSchema.default(5_000),
  /** The timeout of a drain. */
  drainBoundMs: durationMsSchema.default(120_000),
  /** The interval between reads of the engine's report and cache events. */
  reportIntervalMs: durationMsSchema.default(250),
  maxCachedPrefixes: countSchema.default(256),
  memory: memorySchema.default(() => memorySchema.parse({})),
  retention: retentionSchema.default(() => retentionSchema.parse({})),
});

export type AgentSettings = z.infer<typeof agentSettingsSchema>;
export type AgentSettingsInput = z.input<typeof agentSettingsSchema>;

/** Example settings that contain the default of every optional setting. */
export const DEFAULT_AGENT_SETTINGS = agentSettingsSchema.parse({
  vmId: 'agent',
  internalKey: 'set-your-own',
  engine: {url: 'http://127.0.0.1:8000'},
  platform: {logUrl: 'http://127.0.0.1:8300'},
});
