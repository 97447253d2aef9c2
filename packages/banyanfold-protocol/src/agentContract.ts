import {initTRPC} from '@trpc/server';
import {z} from 'zod';

/** States of a copy in the agent's ledger. */
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
  /** Time since a request last used it. */
  idleMs: z.number(),
});

/** The load of an agent, small enough for a header of every answer. */
export const loadDigestSchema = z.object({
  incarnation: z.number(),
  /** Increases with every digest that the agent creates. */
  sequence: z.number(),
  running: z.number(),
  queued: z.number(),
  kvUsedBytes: z.number(),
  kvCapacityBytes: z.number(),
  /** Estimated time to first token of a request that arrives now. */
  queueDelayMs: z.number(),
  leaving: z.boolean(),
});

/** An agent's report to entries. */
export const agentReportSchema = loadDigestSchema.extend({
  vmId: z.string(),
  failureDomain: z.string(),
  region: z.string(),
  runnerRole: z.string(),
  configVersion: z.number(),
  memoryCapacityBytes: z.number(),
  memoryFreeBytes: z.number(),
  /** Maximum concurrent requests of the runner; earlier releases omit it. */
  maxRunning: z.number().optional(),
  checksFencing: z.boolean(),
  copies: z.array(copySchema),
  services: z.array(z.string()),
  /** Requests served since the agent started, by artifact. */
  servedCount: z.record(z.string(), z.number()),
  /** Hashes of prefixes that are probably cached, limited in number. */
  cachedPrefixes: z.array(z.string()),
});

/** Identifies the report that an entry holds. */
export const reportCursorSchema = z.object({
  incarnation: z.number(),
  sequence: z.number(),
});

/** A report without the lists that the entry already holds. */
export const reportChangesSchema = agentReportSchema
  .omit({copies: true, services: true, servedCount: true, cachedPrefixes: true})
  .extend({
    /** The copies and services equal those of the report with this sequence. */
    sinceSequence: z.number(),
    /** In the order of that report's copies. */
    copyIdleMs: z.array(z.number()),
    /** New total counts of the artifacts whose count changed. */
    servedSince: z.record(z.string(), z.number()),
    prefixesAdded: z.array(z.string()),
    prefixesGone: z.array(z.string()),
  });

export const sealResultSchema = z.object({
  state: z.enum(['never-started', 'started', 'finished', 'unknown']),
});

export const proposalSchema = z.object({
  proposalId: z.string(),
  /** Offset of the planner's claim in the log; older planners are refused. */
  plannerEpoch: z.number(),
  kind: z.enum(['load', 'retire', 'set-role']),
  artifact: z.string().default(''),
  bytes: z.number().default(0),
  runnerRole: z.string().default(''),
  /** For `retire`: the copies at other agents on which it relies. */
  reliesOnCopyIds: z.array(z.string()).default([]),
  /** For `retire`: when the planner saw those copies, by the log's clock. */
  viewedAtMs: z.number().optional(),
});

export const proposalResultSchema = z.object({
  accepted: z.boolean(),
  /** Code of the reason, such as `no-memory` or `old-planner`. */
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

/** Handlers that an agent implements for entries and operators. */
export interface AgentHandlers {
  report(): Promise<AgentReport>;
  /** Returns the changes since the caller's report, or the full report. */
  reportSince?(
    cursor: ReportCursor | undefined,
  ): Promise<AgentReport | ReportChanges>;
  /**
   * Stops an attempt that is running, and prevents one that hasn't started from
   * starting. `incarnation` is the one that the attempt was addressed to. Only
   * that incarnation can answer `never-started`, because an earlier one may
   * have run the attempt.
   */
  seal(attemptId: string, incarnation?: number): Promise<SealResult>;
  propose(proposal: Proposal): Promise<ProposalResult>;
  /** Starts draining: no new requests are accepted, running ones finish. */
  drain(): Promise<{running: number}>;
}

const t = initTRPC.create();

/** Creates the tRPC router for an agent's handlers. */
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
