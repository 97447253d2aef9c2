import {z} from 'zod';
import {outageSchema} from '../common/outage.js';

const GIB = 1024 ** 3;
const KIB = 1024;

export const engineModelSchema = z.object({
  /** `name@version` or `name@version+adapter@version`. */
  artifact: z.string(),
  bytes: z.number().min(0),
});

/** How long the work takes: continuous batching with chunked prefill. */
export const timeModelSchema = z.object({
  prefillTokensPerSecond: z.number().positive().default(8000),
  /** What each step takes, whatever is in it. */
  baseStepMs: z.number().min(0).default(15),
  /** What each sequence that decodes in a step adds. */
  stepMsPerSequence: z.number().min(0).default(0.5),
  /** The most prompt tokens that one step takes in. */
  prefillChunkTokens: z.number().int().positive().default(2048),
  maxRunning: z.number().int().positive().default(32),
});

export type TimeModel = z.infer<typeof timeModelSchema>;

export const engineOptionsSchema = z.object({
  name: z.string().default('engine'),
  ...timeModelSchema.shape,
  /** Memory for models and adapters. */
  memoryCapacityBytes: z
    .number()
    .positive()
    .default(80 * GIB),
  kvCapacityBytes: z
    .number()
    .positive()
    .default(16 * GIB),
  kvBytesPerToken: z
    .number()
    .positive()
    .default(128 * KIB),
  /** The least recently used prefixes go when it is full. */
  prefixCacheBytes: z
    .number()
    .min(0)
    .default(8 * GIB),
  /** A prefix is cached in blocks of this size. */
  cacheBlockTokens: z.number().int().positive().default(256),
  /** Loaded at the start, without the weight store. */
  models: z.array(engineModelSchema).default([]),
  role: z.string().default(''),
  /** Whether an order with an old fencing number is refused. */
  checksFencing: z.boolean().default(true),
  /** Where weights come from; without it they come at `loadBytesPerSecond`. */
  weightStoreUrl: z.string().optional(),
  loadBytesPerSecond: z.number().positive().default(2_000_000_000),
  /** From the end of the last request of an artifact to its memory free. */
  unloadMs: z.number().min(0).default(200),
  reportLagMs: z.number().min(0).default(250),
  cacheEventLagMs: z.number().min(0).default(500),
  /** How long a stream can be resumed after its end. */
  resumeWindowMs: z.number().min(0).default(30_000),
  /** The engine's own clock is ahead of the machine's by this. */
  clockOffsetMs: z.number().default(0),
});

export type EngineOptions = z.infer<typeof engineOptionsSchema>;

const probability = z.number().min(0).max(1).default(0);
const count = z.number().int().min(0).default(0);
const eventNumber = z.number().int().min(0).nullable().default(null);

export const engineFaultsSchema = z.strictObject({
  /** Nothing moves and nothing is answered until it is off again. */
  paused: z.boolean().default(false),
  /** Of everything but the switches. */
  outage: outageSchema,
  /** How many of the next requests are answered 500 and not run. */
  failNextRequests: count,
  /** Delay of each inference request before it reaches the engine. */
  requestDelayMs: z.number().min(0).default(0),
  /** How many of the next whole answers are made and cut off. */
  cutNextWholeAnswers: count,
  /** How many of the next whole answers have the id of another request. */
  crossNextWholeAnswers: count,

  /** Orders that are not applied and whose answer never comes. */
  loseNextOrders: count,
  orderLossProbability: probability,
  /** Orders that are applied and whose connection is cut. */
  loseNextOrderAnswers: count,
  orderAnswerLossProbability: probability,
  /** Orders that are applied after `orderLateMs`. */
  lateNextOrders: count,
  orderLateProbability: probability,
  orderLateMs: z.number().min(0).default(0),
  /** Late orders are answered late; without it their connection is cut. */
  lateOrdersAnswered: z.boolean().default(false),
  /** The engine commits memory that it does not have. */
  unprotectedMemory: z.boolean().default(false),

  /** The report stays as it was when this was set. */
  reportsFrozen: z.boolean().default(false),
  /** Replaces the option `reportLagMs`. */
  reportLagMs: z.number().min(0).nullable().default(null),

  /** How many of the next streams have the faults below. */
  faultyStreams: count,
  /** The connection is cut after this many events. */
  cutStreamAfterEvents: eventNumber,
  /** The connection ends cleanly, with no `[DONE]`, after this many. */
  endStreamAfterEvents: eventNumber,
  /** The event with this number is sent twice. */
  doubleEvent: eventNumber,
  /** After this many events comes one of another request. */
  crossAfterEvents: eventNumber,

  /** Replaces the option `cacheEventLagMs`. */
  cacheEventLagMs: z.number().min(0).nullable().default(null),
  /** Share of cache events that are never published; leaves gaps. */
  cacheEventLossProbability: probability,
});

export type EngineFaults = z.infer<typeof engineFaultsSchema>;
