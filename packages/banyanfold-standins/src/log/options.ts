import {z} from 'zod';
import {outageSchema} from '../common/outage.js';

const MS_PER_HOUR = 3_600_000;

export const logOptionsSchema = z.object({
  /** Records older than this are dropped. */
  retentionMs: z.number().positive().default(MS_PER_HOUR),
  /** Appends a second, over all streams; more are answered 429. */
  appendsPerSecond: z.number().positive().default(500),
  /** The longest long poll. */
  maxWaitMs: z.number().min(0).default(30_000),
  /** The most records on a page. */
  maxPageRecords: z.number().int().positive().default(1000),
});

export type LogOptions = z.infer<typeof logOptionsSchema>;

export const logFaultsSchema = z.strictObject({
  outage: outageSchema,
  /** Delay of each request before it takes effect. */
  requestDelayMs: z.number().min(0).default(0),
  /** Delay of each answer after the effect. */
  answerDelayMs: z.number().min(0).default(0),
  /** How many of the next appends take effect and lose their answer. */
  loseNextAppendAnswers: z.number().int().min(0).default(0),
  /** Share of appends that take effect and lose their answer. */
  appendAnswerLossProbability: z.number().min(0).max(1).default(0),
  /** A lost answer never comes, instead of the connection being cut. */
  lostAnswersHang: z.boolean().default(false),
});

export type LogFaults = z.infer<typeof logFaultsSchema>;
