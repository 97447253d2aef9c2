import {z} from 'zod';
import {amountSchema, textSchema} from './contractRanges.js';

/** A request for permits to retry requests of a service. */
export const retryGrantInputSchema = z.object({
  service: textSchema,
  count: z.number().int().positive(),
  /** A relay sent it on, so it must not be sent on again. */
  isForwarded: z.boolean().default(false),
});

export const retryGrantSchema = z.object({
  granted: amountSchema,
  /** Pause before more are requested, in ms. */
  retryAfterMs: amountSchema,
});

export type RetryGrantInput = z.infer<typeof retryGrantInputSchema>;
/** Answer of the lease holder to a request for permits. */
export type RetryGrant = z.infer<typeof retryGrantSchema>;
