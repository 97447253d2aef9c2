import {z} from 'zod';

/** What an entry, or a relay for its group, tells of crashes. */
export const crashReportSchema = z.object({
  /** Requests that were at a runner when it crashed, by life of the runner. */
  crashes: z.array(
    z.object({life: z.string(), fingerprints: z.array(z.string())}),
  ),
  /** Suspects that were answered whole by a runner. */
  served: z.array(z.string()),
  /** Trials that ended in neither; `ran` where a runner may have begun it. */
  trialsOver: z.array(z.object({fingerprint: z.string(), ran: z.boolean()})),
  /** Known to be in quarantine; told to a holder that may not know. */
  quarantined: z.array(z.string()),
});

export type CrashReport = z.infer<typeof crashReportSchema>;

const suspectSchema = z.object({
  fingerprint: z.string(),
  /** Until it leaves quarantine, in ms; undefined for a mere suspect. */
  quarantinedMs: z.number().optional(),
});

export type Suspect = z.infer<typeof suspectSchema>;

/** What the holder tells all entries. */
export const suspectListSchema = z.object({
  /** Differs with each holder, and with each change of the list. */
  epoch: z.string(),
  revision: z.number(),
  /** The whole list; left out for one that has this revision. */
  suspects: z.array(suspectSchema).optional(),
});

export type SuspectList = z.infer<typeof suspectListSchema>;
export type SuspectListVersion = Pick<SuspectList, 'epoch' | 'revision'>;

export const suspectListVersionSchema = suspectListSchema.pick({
  epoch: true,
  revision: true,
});

/** An entry asks where a suspect may run. */
export const trialInputSchema = z.object({
  fingerprint: z.string(),
  /** Where it could run, the best one first. */
  runnerIds: z.array(z.string()),
  /** It is over by then in any case, in ms. */
  forMs: z.number(),
});

export const trialOutputSchema = z.object({
  /** Undefined while it has to wait. */
  runnerId: z.string().optional(),
  reason: z.string(),
});

export type TrialInput = z.infer<typeof trialInputSchema>;
export type TrialOutput = z.infer<typeof trialOutputSchema>;
