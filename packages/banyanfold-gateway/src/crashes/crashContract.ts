import {z} from 'zod';

/**
 * Crash data that an entry, or a relay for its group, sends to the holder. A
 * fingerprint stands for a request or a prompt part.
 */
export const crashReportSchema = z.object({
  /** What was in flight at a crashed runner; `life` identifies the crash. */
  crashes: z.array(
    z.object({
      life: z.string(),
      fingerprints: z.array(z.string()),
      /**
       * Those that runners answered within the last minute; omitted by releases
       * that don't record answers.
       */
      answered: z.array(z.string()).optional(),
    }),
  ),
  /** Suspects that a runner answered completely. */
  served: z.array(z.string()),
  /**
   * Trials that ended without a crash, by the key of their suspects; `ran` if a
   * runner may have started one and its result is unknown.
   */
  trialsOver: z.array(z.object({fingerprint: z.string(), ran: z.boolean()})),
  /** Quarantined keys, for a holder that may not know about them. */
  quarantined: z.array(z.string()),
});

export type CrashReport = z.infer<typeof crashReportSchema>;

const suspectSchema = z.object({
  /** A fingerprint, or the key of several that are quarantined together. */
  fingerprint: z.string(),
  /** Time since the last crash of a mere suspect, in ms. */
  crashedAgoMs: z.number().optional(),
  /** Remaining quarantine in ms; undefined for a mere suspect. */
  quarantinedMs: z.number().optional(),
});

export type Suspect = z.infer<typeof suspectSchema>;

/** The list of suspects, as the holder sends it to all entries. */
export const suspectListSchema = z.object({
  /** Differs between holders. */
  epoch: z.string(),
  /** Increases with each change of the list. */
  revision: z.number(),
  /** The complete list; omitted for a receiver that has this revision. */
  suspects: z.array(suspectSchema).optional(),
  /** Time since the last crash of any runner in ms, within the last minute. */
  crashedAgoMs: z.number().optional(),
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
  fingerprint: z.string(),
  /** Runners that could run it, in order of preference. */
  runnerIds: z.array(z.string()),
  /** Maximum duration of the trial, in ms. */
  forMs: z.number(),
});

export const trialOutputSchema = z.object({
  /** Undefined while the suspect has to wait. */
  runnerId: z.string().optional(),
  reason: z.string(),
});

export type TrialInput = z.infer<typeof trialInputSchema>;
export type TrialOutput = z.infer<typeof trialOutputSchema>;
