import {initTRPC} from '@trpc/server';
import {z} from 'zod';

/** How a copy stands in the agent's ledger. */
export const COPY_STATES = [
  'reserved',
  'held',
  'releasing',
  'in-doubt',
] as const;

/** One copy of an artifact on one backend server. */
export const copySchema = z.object({
  artifact: z.string(),
  bytes: z.number(),
  state: z.enum(COPY_STATES),
  /** The id of the load order that made this copy. */
  copyId: z.string(),
  /** Since when no request used it. */
  idleMs: z.number(),
});

/** Small enough to ride on every answer. */
export const loadDigestSchema = z.object({
  incarnation: z.number(),
  /** Rises with every digest that the agent makes. */
  sequence: z.number(),
  running: z.number(),
  queued: z.number(),
  kvUsedBytes: z.number(),
  kvCapacityBytes: z.number(),
  /** Estimated wait to a first token for a request that came now. */
  queueDelayMs: z.number(),
  leaving: z.boolean(),
});

/** What an agent tells entries. */
export const agentReportSchema = loadDigestSchema.extend({
  vmId: z.string(),
  failureDomain: z.string(),
  region: z.string(),
  runnerRole: z.string(),
  configVersion: z.number(),
  memoryCapacityBytes: z.number(),
  memoryFreeBytes: z.number(),
  /** Requests the runner runs at once; earlier releases leave it out. */
  maxRunning: z.number().optional(),
  checksFencing: z.boolean(),
  copies: z.array(copySchema),
  services: z.array(z.string()),
  /** Demand met here since the agent started, by artifact. */
  servedCount: z.record(z.string(), z.number()),
  /** Prefix hashes believed cached, a bounded number. */
  cachedPrefixes: z.array(z.string()),
});

/** The report that an entry holds. */
export const reportCursorSchema = z.object({
  incarnation: z.number(),
  sequence: z.number(),
});

/** A report without its lists, for an entry that holds them already. */
export const reportChangesSchema = agentReportSchema
  .omit({copies: true, services: true, servedCount: true, cachedPrefixes: true})
  .extend({
    /** Copies and services are those of the report with this sequence. */
    sinceSequence: z.number(),
    /** In the order of its copies. */
    copyIdleMs: z.array(z.number()),
    /** The whole counts of the artifacts whose count changed. */
    servedSince: z.record(z.string(), z.number()),
    prefixesAdded: z.array(z.string()),
    prefixesGone: z.array(z.string()),
  });

export const sealResultSchema = z.object({
  state: z.enum(['never-started', 'started', 'finished', 'unknown']),
});

export const proposalSchema = z.object({
  proposalId: z.string(),
  /** Offset of the planner's claim; an older planner is refused. */
  plannerEpoch: z.number(),
  kind: z.enum(['load', 'retire', 'set-role']),
  artifact: z.string().default(''),
  bytes: z.number().default(0),
  runnerRole: z.string().default(''),
  /** For retire: the copies elsewhere that it relies on. */
  reliesOnCopyIds: z.array(z.string()).default([]),
  /** For retire: when the planner saw those copies, by the log's clock. */
  viewedAtMs: z.number().optional(),
});

export const proposalResultSchema = z.object({
  accepted: z.boolean(),
  /** Why not, in a word: `no-memory`, `old-planner`, `not-sole`, … */
  reason: z.string(),
});

export type Copy = z.infer<typeof copySchema>;
export type LoadDigest = z.infer<typeof loadDigestSchema>;
export type AgentReport = z.infer<typeof agentReportSchema>;
export type ReportCursor = z.infer<typeof reportCursorSchema>;
export type ReportChanges = z.infer<typeof reportChangesSchema>;
export type SealResult = z.infer<typeof sealResultSchema>;
export type Proposal = z.infer<typeof proposalSchema>;
export type ProposalResult = z.infer<typeof proposalResultSchema>;

/** What an agent implements for the calls of entries and operators. */
export interface AgentHandlers {
  report(): Promise<AgentReport>;
  /** What changed since the report that the caller holds, if it holds one. */
  reportSince?(
    cursor: ReportCursor | undefined,
  ): Promise<AgentReport | ReportChanges>;
  /**
   * Stops the attempt when it runs, and keeps it from starting when it hasn't.
   * `incarnation` is the one the attempt was addressed to; only that one can
   * answer `never-started`, for an earlier one may have run it.
   */
  seal(attemptId: string, incarnation?: number): Promise<SealResult>;
  propose(proposal: Proposal): Promise<ProposalResult>;
  /** Starts to leave: no new work, what runs is finished. */
  drain(): Promise<{running: number}>;
}

const t = initTRPC.create();

/** Mounts an agent's handlers as a trpc router. */
export function createAgentRouter(handlers: AgentHandlers) {
  return t.router({
    report: t.procedure
      .output(agentReportSchema)
      .query(() => handlers.report()),
    reportSince: t.procedure
      .input(reportCursorSchema.optional())
      .output(z.union([reportChangesSchema, agentReportSchema]))
      .query(({input}) => handlers.reportSince?.(input) ?? handlers.report()),
    seal: t.procedure
      .input(
        z.object({attemptId: z.string(), incarnation: z.number().optional()}),
      )
      .output(sealResultSchema)
      .mutation(({input}) => handlers.seal(input.attemptId, input.incarnation)),
    propose: t.procedure
      .input(proposalSchema)
      .output(proposalResultSchema)
      .mutation(({input}) => handlers.propose(input)),
    drain: t.procedure.mutation(() => handlers.drain()),
  });
}

export type AgentRouter = ReturnType<typeof createAgentRouter>;
