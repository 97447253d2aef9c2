import {z} from 'zod';

/** Crash data that an entry, or a relay for its group, sends to the holder. */
export const crashReportSchema = z.object({
  /** Requests in flight at a crashed runner; `life` identifies the crash. */
  crashes: z.array(
    z.object({life: z.string(), fingerprints: z.array(z.string())}),
  ),
  /** Suspects that a runner answered completely. */
  served: z.array(z.string()),
  /** Trials without a result; `ran` if a runner may have started one. */
  trialsOver: z.array(z.object({fingerprint: z.string(), ran: z.boolean()})),
  /** Quarantined requests, for a holder that may not know about them. */
  quarantined: z.array(z.string()),
});

export type CrashReport = z.infer<typeof crashReportSchema>;

const suspectSchema = z.object({
  fingerprint: z.string(),
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
});

export type SuspectList = z.infer<typeof suspectListSchema>;
export type SuspectListVersion = Pick<SuspectList, 'epoch' | 'revision'>;

export const suspectListVersionSchema = suspectListSchema.pick({
  epoch: true,
  revision: true,
});

/** An entry's request to run a suspect. */
export const trialInputSchema = z.object({
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
