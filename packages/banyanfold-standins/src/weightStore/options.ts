import {z} from 'zod';
import {outageSchema} from '../common/outage.js';

export const weightStoreOptionsSchema = z.object({
  loadsPerSecond: z.number().positive().default(1),
  loadsAtOnce: z.number().int().positive().default(4),
  /** Speed of each load. */
  bytesPerSecond: z.number().positive().default(2_000_000_000),
  /** What a load takes besides its bytes. */
  baseLoadMs: z.number().min(0).default(200),
  /**
   * A load that is never ended frees its place after this many times its
   * duration.
   */
  expiryFactor: z.number().min(1).default(4),
});

export type WeightStoreOptions = z.infer<typeof weightStoreOptionsSchema>;

export const weightStoreFaultsSchema = z.strictObject({
  outage: outageSchema,
  /** How many times slower each load that starts now is. */
  slowFactor: z.number().positive().default(1),
  /** Delay of each answer. */
  answerDelayMs: z.number().min(0).default(0),
});

export type WeightStoreFaults = z.infer<typeof weightStoreFaultsSchema>;
