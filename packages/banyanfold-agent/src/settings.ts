import {z} from 'zod';

const GIB = 1024 ** 3;
const MIB = 1024 ** 2;

const durationMsSchema = z.number().int().nonnegative();
const countSchema = z.number().int().positive();

const engineSchema = z.strictObject({
  url: z.url(),
  /** Whether the engine refuses an order with an old fencing number. */
  checksFencing: z.boolean().default(false),
  /** After this long an order that was sent can't arrive any more. */
  orderLateBoundMs: durationMsSchema.default(30_000),
  requestTimeoutMs: durationMsSchema.default(2_000),
  /** Silence on an open stream for longer than this counts as broken. */
  streamIdleTimeoutMs: durationMsSchema.default(30_000),
  /** A whole (not streamed) answer must have begun by then. */
  wholeAnswerTimeoutMs: durationMsSchema.default(300_000),
  /** Tries to resume one broken stream at the engine. */
  maxResumes: z.number().int().nonnegative().default(4),
  retryDelayMs: durationMsSchema.default(100),
});

const memorySchema = z.strictObject({
  /**
   * Share of the accelerator memory that loads never take, so that requests
   * always have KV cache. It must be the same before and after a restart.
   */
  kvFloorShare: z.number().min(0).max(0.9).default(0.1),
  /**
   * `shared`: KV cache and weights come out of the reported memory together.
   * `separate`: the engine set its KV cache aside and reports it apart.
   */
  kvPool: z.enum(['shared', 'separate']).default('shared'),
  kvBytesPerToken: countSchema.default(131_072),
  /** Requests that came before a restart have ended after this long. */
  inheritedBoundMs: durationMsSchema.default(600_000),
  /**
   * A copy from before a restart isn't retired until nobody can rely on it
   * under its earlier id any more.
   */
  inheritedRetireHoldMs: durationMsSchema.default(120_000),
});

const retentionSchema = z.strictObject({
  /** Kept events of one attempt; the oldest go first. */
  bytesPerAttempt: countSchema.default(MIB),
  /** Kept events of all attempts whose stream has ended. */
  totalBytes: countSchema.default(GIB / 16),
  /** How long a sealed or finished attempt id is known. */
  attemptIdMs: durationMsSchema.default(1_200_000),
  /**
   * After the start, a seal that names no incarnation isn't answered
   * `never-started`: the attempt may have run before the restart.
   */
  sealGraceMs: durationMsSchema.default(60_000),
});

/** Settings of the process beside one backend server. */
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
    /** How long the log keeps a record, at least. */
    logRetentionMs: durationMsSchema.default(3_600_000),
  }),
  maxRunning: countSchema.default(16),
  maxQueued: z.number().int().nonnegative().default(64),
  maxServiceCalls: countSchema.default(64),
  maxBodyBytes: countSchema.default(64 * MIB),
  serviceTimeoutMs: durationMsSchema.default(60_000),
  /** How long a broken-off caller may come back for its stream. */
  resumeWindowMs: durationMsSchema.default(5_000),
  drainBoundMs: durationMsSchema.default(120_000),
  /** How often the engine's report is read. */
  reportIntervalMs: durationMsSchema.default(250),
  maxCachedPrefixes: countSchema.default(256),
  memory: memorySchema.default(() => memorySchema.parse({})),
  retention: retentionSchema.default(() => retentionSchema.parse({})),
});

export type AgentSettings = z.infer<typeof agentSettingsSchema>;
export type AgentSettingsInput = z.input<typeof agentSettingsSchema>;

/** The settings that have a default. */
export const DEFAULT_AGENT_SETTINGS = agentSettingsSchema.parse({
  vmId: 'agent',
  internalKey: 'set-your-own',
  engine: {url: 'http://127.0.0.1:8000'},
  platform: {logUrl: 'http://127.0.0.1:8300'},
});
