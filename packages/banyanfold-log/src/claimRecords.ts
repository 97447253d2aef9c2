import {z} from 'zod';

/** Asks for a key; the first one within the key's window owns it. */
export const claimRecordSchema = z.object({
  kind: z.literal('claim'),
  key: z.string(),
  /** One process, not one VM: a successor knows nothing of the run. */
  owner: z.string(),
  nonce: z.string(),
  atKeyMs: z.number(),
});

/** The run ended; `body` only when it was small enough. */
export const finishedRecordSchema = z.object({
  kind: z.literal('finished'),
  key: z.string(),
  owner: z.string(),
  status: z.number().int(),
  body: z.string().optional(),
});

/** The owner never dispatched and promises that it never will. */
export const releasedRecordSchema = z.object({
  kind: z.literal('released'),
  key: z.string(),
  claimOffset: z.number().int().positive(),
});

export const claimsRecordSchema = z.discriminatedUnion('kind', [
  claimRecordSchema,
  finishedRecordSchema,
  releasedRecordSchema,
]);

export type ClaimRecord = z.infer<typeof claimRecordSchema>;
export type FinishedRecord = z.infer<typeof finishedRecordSchema>;
export type ReleasedRecord = z.infer<typeof releasedRecordSchema>;
export type ClaimsRecord = z.infer<typeof claimsRecordSchema>;

/** What a run of a key came to. */
export interface FinishedRun {
  status: number;
  /** Undefined when it was too large to keep. */
  body?: string | undefined;
}
