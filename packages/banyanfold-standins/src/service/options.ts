import {z} from 'zod';
import {outageSchema} from '../common/outage.js';

export const serviceOptionsSchema = z.object({
  name: z.string().default('service'),
});

export type ServiceOptions = z.infer<typeof serviceOptionsSchema>;

export const serviceFaultsSchema = z.strictObject({
  outage: outageSchema,
  /** Delay of each call before it takes effect. */
  requestDelayMs: z.number().min(0).default(0),
  /** Delay of each answer after the effect. */
  answerDelayMs: z.number().min(0).default(0),
  /** How many of the next calls take effect and lose their answer. */
  loseNextAnswers: z.number().int().min(0).default(0),
  answerLossProbability: z.number().min(0).max(1).default(0),
  /** A lost answer never comes, instead of the connection being cut. */
  lostAnswersHang: z.boolean().default(false),
  /** How many of the next calls are answered 500 without an effect. */
  failNext: z.number().int().min(0).default(0),
});

export type ServiceFaults = z.infer<typeof serviceFaultsSchema>;
