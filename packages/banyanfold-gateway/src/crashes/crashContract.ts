import {z} from 'zod';
import {
  amountSchema,
  listOf,
  ordinalSchema,
  textSchema,
} from '../peers/contractRanges.js';

/**
 * Crash data that an entry, or a relay for its group, sends to the holder. A
 * fingerprint stands for a request or a prompt part.
 */
export const crashReportSchema = z.object({
  /** What was in flight at a crashed runner; `life` identifies the crash. */
  crashes: listOf(
    z.object({
      life: textSchema,
      fingerprints: listOf(textSchema),
      /**
       * Those that runners answered within the last minute; omitted by releases
       * that don't record answers.
       */
      answered: listOf(textSchema).optional(),
    }),
  ),
  /** Suspects that a runner answered completely. */
  served: listOf(textSchema),
  /**
   * Trials that ended without a crash, by the key of their suspects; `ran` if a
   * runner may have started one and its result is unknown.
   */
  trialsOver: listOf(z.object({fingerprint: textSchema, ran: z.boolean()})),
  /** Quarantined keys, for a holder that may not know about them. */
  quarantined: listOf(textSchema),
});

export type CrashReport = z.infer<typeof crashReportSchema>;

const suspectSchema = z.object({
  /** A fingerprint, or the key of several that are quarantined together. */
  fingerprint: textSchema,
  /** Time since the last crash of a mere suspect, in ms. */
  crashedAgoMs: amountSchema.optional(),
  /** Remaining quarantine in ms; undefined for a mere suspect. */
  quarantinedMs: amountSchema.optional(),
});

export type Suspect = z.infer<typeof suspectSchema>;

/** The list of suspects, as the holder sends it to all entries. */
export const suspectListSchema = z.object({
  /** Differs between holders. */
  epoch: textSchema,
  /** Increases with each change of the list. */
  revision: ordinalSchema,
  /** The complete list; omitted for a receiver that has this revision. */
  suspects: listOf(suspectSchema).optional(),
  /** Time since the last crash of any runner in ms, within the last minute. */
  crashedAgoMs: amountSchema.optional(),
});

export type SuspectList = z.infer<typeof suspectListSchema>;
export type SuspectListVersion = Pick<SuspectList, 'epoch' | 'revision'>;

export const suspectListVersionSchema = suspectListSchema.pick({
  epoch: true,
  revision: true,
});

/** An entry's request to run a request with suspects. */
export const trialInputSchema = z.object({
  /** The key of its suspects. */
  fingerprint: textSchema,
  /** Runners that could run it, in order of preference. */
  runnerIds: listOf(textSchema),
  /** Maximum duration of the trial, in ms. */
  forMs: amountSchema,
});

export const trialOutputSchema = z.object({
  /** Undefined while the suspect has to wait. */
  runnerId: textSchema.optional(),
  reason: textSchema,
});

export type TrialInput = z.infer<typeof trialInputSchema>;
export type TrialOutput = z.infer<typeof trialOutputSchema>;
