import {initTRPC} from '@trpc/server';
import {z} from 'zod';

/** Requests refused since the start because no copy existed, by artifact. */
export const missedCountSchema = z.record(z.string(), z.number());

export const entryStatusSchema = z.object({
  vmId: z.string(),
  failureDomain: z.string(),
  configVersion: z.number(),
  ready: z.boolean(),
  leaving: z.boolean(),
  openRequests: z.number(),
  plannerEpoch: z.number(),
  missedCount: missedCountSchema.default({}),
  agents: z.array(
    z.object({
      vmId: z.string(),
      reachable: z.boolean(),
      ageMs: z.number(),
      configVersion: z.number(),
      running: z.number(),
      queued: z.number(),
      artifacts: z.array(z.string()),
    }),
  ),
});

/** The configuration with its position in the log, for a starting peer. */
export const configSnapshotSchema = z.object({
  version: z.number(),
  foldedThrough: z.number(),
  body: z.unknown(),
});

export const explainInputSchema = z.object({
  caller: z.string(),
  desk: z.string().default(''),
  requestedName: z.string(),
  headers: z.record(z.string(), z.string()).default({}),
});

export const explainResultSchema = z.object({
  selector: z.string(),
  artifact: z.string(),
  reason: z.string(),
  candidates: z.array(
    z.object({vmId: z.string(), score: z.number(), reason: z.string()}),
  ),
});

export type MissedCount = z.infer<typeof missedCountSchema>;
export type EntryStatus = z.infer<typeof entryStatusSchema>;
export type ConfigSnapshot = z.infer<typeof configSnapshotSchema>;
export type ExplainInput = z.infer<typeof explainInputSchema>;
export type ExplainResult = z.infer<typeof explainResultSchema>;

/** Handlers that an entry implements for peers and operators. */
export interface EntryHandlers {
  status(): Promise<EntryStatus>;
  /** The part of the status that the planner fetches from peers each round. */
  misses(): Promise<MissedCount>;
  configSnapshot(): Promise<ConfigSnapshot>;
  drain(): Promise<{openRequests: number}>;
  explain(input: ExplainInput): Promise<ExplainResult>;
}

const t = initTRPC.create();

/** Creates the tRPC router for an entry's handlers. */
export function createEntryRouter(handlers: EntryHandlers) {
  return t.router({
    status: t.procedure
      .output(entryStatusSchema)
      .query(() => handlers.status()),
    misses: t.procedure
      .output(missedCountSchema)
      .query(() => handlers.misses()),
    configSnapshot: t.procedure
      .output(configSnapshotSchema)
      .query(() => handlers.configSnapshot()),
    drain: t.procedure.mutation(() => handlers.drain()),
    explain: t.procedure
      .input(explainInputSchema)
      .output(explainResultSchema)
      .query(({input}) => handlers.explain(input)),
  });
}

export type EntryRouter = ReturnType<typeof createEntryRouter>;
