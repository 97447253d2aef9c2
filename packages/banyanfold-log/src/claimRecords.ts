import {z} from 'zod';

/** Claims a key. The first claim within the key's window owns it. */
export const claimRecordSchema = z.object({
  kind: z.literal('claim'),
  key: z.string(),
  /** A process rather than a VM: its successor has no state of the run. */
  owner: z.string(),
  nonce: z.string(),
  atKeyMs: z.number(),
});

/** Reports that the run ended. `body` is set only if it is small enough. */
export const finishedRecordSchema = z.object({
  kind: z.literal('finished'),
  key: z.string(),
  owner: z.string(),
  status: z.number().int(),
  body: z.string().optional(),
});

/** States that the owner has not dispatched and never will. */
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

/** The result of the run of a key. */
export interface FinishedRun {
  status: number;
  /** Undefined if it was too large to store. */
  body?: string | undefined;
}
