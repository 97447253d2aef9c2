import {initTRPC} from '@trpc/server';
import {z} from 'zod';
import {
  crashReportSchema,
  suspectListVersionSchema,
  suspectListSchema,
  trialInputSchema,
  type TrialInput,
  type TrialOutput,
} from '../crashes/crashContract.js';
import {
  retryGrantInputSchema,
  type RetryGrant,
  type RetryGrantInput,
} from './retryGrantContract.js';

/** The models and adapters that one runner holds. */
const runnerCopiesSchema = z.object({
  runnerId: z.string(),
  /** The incarnation that holds them; absent from holders of earlier releases. */
  bornMs: z.number().optional(),
  models: z.array(z.string()),
  /** Each as the names of its model and adapter, joined by a slash. */
  adapters: z.array(z.string()),
  /** A model is being loaded or unloaded, so no adapter can be fetched. */
  isBusy: z.boolean(),
});

export type RunnerCopies = z.infer<typeof runnerCopiesSchema>;

/** A runner whose registration was removed, and its last heartbeat before. */
const goneRunnerSchema = z.object({
  runnerId: z.string(),
  bornMs: z.number(),
  heartbeatNumber: z.number(),
});

/** A start of a runner that is leaving. */
const leavingRunnerSchema = z.object({
  runnerId: z.string(),
  bornMs: z.number(),
});

/**
 * Part of its requests that an organisation may send: all that are more urgent
 * than a priority, and a share of those with this priority.
 */
const shareLimitSchema = z.tuple([z.number(), z.number()]).readonly();

/** Admitted requests without a response, their work, and that times its target. */
const poolBacklogSchema = z.object({
  requests: z.number(),
  work: z.number(),
  workMs: z.number(),
});

const countsSchema = z.record(z.string(), z.number());

/** An entry, with the properties by which standbys and relays are chosen. */
const memberSchema = z.object({
  address: z.string(),
  failureDomain: z.string(),
  /** Processor cores that the process may use. */
  processorShare: z.number(),
});

/** An entry that keeps origin records of others. */
const replicaSchema = z.object({
  address: z.string(),
  failureDomain: z.string(),
});

/** Replicas of origin records; omitted if the receiver knows this version. */
const replicaUpdateSchema = z.object({
  version: z.string(),
  replicas: z.array(replicaSchema).optional(),
});

export type ReplicaUpdate = z.infer<typeof replicaUpdateSchema>;

/** Streams, each as the id of the request that began it and the version. */
const originsSchema = z.array(z.tuple([z.string(), z.string()]));

export const noteOriginsInputSchema = z.object({
  origins: originsSchema,
  /** The service of each that the receiver also appends to the store. */
  services: z.array(z.string().nullable()).optional(),
});

export const findOriginsInputSchema = z.object({
  requestIds: z.array(z.string()),
});

export const findOriginsOutputSchema = z.object({
  /** Those of the streams that are known. */
  origins: originsSchema,
  /** Services whose runners have had several versions lately. */
  mixedServices: z.array(z.string()),
  /** Whether the sender has seen all versions that matter. */
  isHistoryComplete: z.boolean(),
});

export type NoteOriginsInput = z.infer<typeof noteOriginsInputSchema>;
export type FindOriginsInput = z.infer<typeof findOriginsInputSchema>;
export type FindOriginsOutput = z.infer<typeof findOriginsOutputSchema>;

/**
 * Demand since the previous batch. A batch is sent again until it is answered.
 */
const demandBatchSchema = z.object({
  /** Differs from the id of the previous batch. */
  batchId: z.string(),
  demand: z.array(
    z.object({
      model: z.string(),
      arrivals: z.number(),
      promptTokens: z.number(),
      outputTokens: z.number(),
      adapters: countsSchema,
    }),
  ),
  /** Request outcomes by runner; omitted by releases that don't send them. */
  outcomes: z
    .array(
      z.object({
        runnerId: z.string(),
        successes: z.number(),
        failures: z.number(),
      }),
    )
    .optional(),
  /** Usage counted against caps; omitted by releases that don't send it. */
  usage: z
    .array(
      z.object({
        organisation: z.string(),
        asked: z.number(),
        used: z.number(),
        /** What was not run; omitted by releases that don't tell its time. */
        refunds: z
          .array(z.object({amount: z.number(), agoMs: z.number()}))
          .optional(),
      }),
    )
    .optional(),
  /** Usage of rate-limited runners; omitted by releases that don't send it. */
  rateUse: z
    .array(
      z.object({runnerId: z.string(), asked: z.number(), used: z.number()}),
    )
    .optional(),
  /** Work by organisation; omitted by entries without fair shares. */
  demandByOrganisation: z
    .array(
      z.object({
        pool: z.string(),
        organisation: z.string(),
        priority: z.number(),
        asked: z.number(),
        admitted: z.number(),
      }),
    )
    .optional(),
  /** Work that has ended; omitted by entries without fair shares. */
  poolProgress: z
    .array(
      z.object({
        pool: z.string(),
        completed: z.number(),
        dropped: z.number(),
      }),
    )
    .optional(),
});

export type DemandBatch = z.infer<typeof demandBatchSchema>;

/**
 * State that an entry sends to the holder, or to a relay that forwards it,
 * several times a second. A relay sends the combined state of its group.
 */
export const exchangeInputSchema = z.object({
  /** Address of the sending process. */
  entry: z.string(),
  /** The entry itself and the entries that it relays for. */
  members: z.array(memberSchema),
  /** Version of the configuration in force there; 0 if there is none. */
  configVersion: z.number(),
  /** Position of the last change to the runners that it has read. */
  runnersChange: z.number(),
  /** Last revision of the runners' copies that it has received. */
  known: z.object({epoch: z.string(), revision: z.number()}).optional(),
  openWork: countsSchema,
  /** Adapters used by its requests in flight, by runner. */
  adaptersInUse: z.record(z.string(), z.array(z.string())),
  /** Requests in flight, by runner and model. */
  modelsInUse: z.record(z.string(), countsSchema),
  /** Requests waiting for a copy, by model. */
  waiting: countsSchema,
  batch: demandBatchSchema,
  /** Backlogs by pool; omitted by entries without fair shares. */
  poolBacklogs: z.record(z.string(), poolBacklogSchema).optional(),
  /** Omitted by releases that don't report crashes. */
  crashes: crashReportSchema.optional(),
  /**
   * Rate limits that runners have announced or withdrawn; omitted by releases
   * that don't send them.
   */
  rateLimits: z
    .array(
      z.object({
        runnerId: z.string(),
        perSecond: z.number().optional(),
        ageMs: z.number(),
      }),
    )
    .optional(),
  /**
   * Runners that are leaving, as far as known there;
   * omitted by releases that don't send them.
   */
  leavingRunners: z.array(leavingRunnerSchema).optional(),
  /** Likewise, runners that were removed a short time ago. */
  goneRunners: z.array(goneRunnerSchema).optional(),
  /**
   * Speeds of runners that were sampled since the last exchange; omitted by
   * releases that don't send them.
   */
  runnerSpeeds: z
    .array(
      z.object({
        runnerId: z.string(),
        speed: z.number().positive(),
        samples: z.number().positive(),
      }),
    )
    .optional(),
  /** Last version of the list of suspects that it has received. */
  knownSuspects: suspectListVersionSchema.optional(),
  /** Version of the list of replicas that it has received. */
  knownReplicas: z.string().optional(),
});

/** State that the holder, or a relay on its behalf, returns to an entry. */
export const exchangeOutputSchema = z.object({
  kind: z.literal('told'),
  /** Address of the holder that produced the state. */
  holder: z.string(),
  /** Whether the holder may give orders; false shortly after a lapse. */
  isOrdering: z.boolean(),
  /** Age of the state in ms; 0 from a holder that may give orders. */
  ageMs: z.number(),
  /** Highest configuration version that any entry has reported. */
  configVersion: z.number(),
  /** Last position of a change to the runners that any entry has reported. */
  runnersChange: z.number(),
  /** Time since the holder sent its last answered read of the runners, in ms. */
  runnersReadAgeMs: z.number(),
  /**
   * Time since the holder itself last confirmed that its configuration is
   * current, in ms; omitted by releases that don't send it, and nothing is
   * confirmed then.
   */
  configReadAgeMs: z.number().optional(),
  /** Number of entries seen within the last seconds, including the receiver. */
  entries: z.number(),
  /** Standbys for the lease, in the order in which they acquire it. */
  standbys: z.array(z.string()),
  /**
   * Relays in the receiver's failure domain; empty if all entries contact the
   * holder directly.
   */
  relays: z.array(z.string()),
  /** Age of each load from the weight store that still counts, in ms. */
  loadAgesMs: z.array(z.number()),
  /** Changes to the runners' copies since the revision that the entry knows. */
  copies: z.object({
    epoch: z.string(),
    revision: z.number(),
    isWhole: z.boolean(),
    runners: z.array(runnerCopiesSchema),
    gone: z.array(z.string()),
  }),
  /** Time until a copy is ready, for recently requested models without one. */
  copiesInMs: countsSchema,
  /** Open work of the other entries, by runner; a missing runner has none. */
  peersWork: countsSchema,
  /**
   * Open requests of the other entries, by runner; a missing runner has none.
   */
  peersRequests: countsSchema,
  /**
   * Remaining ejection time of runners that fail more often than their peers.
   */
  ejectedForMs: countsSchema.optional(),
  /** Remaining usage under the caps, for organisations with recent requests. */
  usage: z
    .record(
      z.string(),
      z.object({
        left: z.number(),
        freedPerSecond: z.number(),
        askedPerSecond: z.number(),
      }),
    )
    .optional(),
  /** Rate limits by runner, with the usage of the whole fleet. */
  rateLimits: z
    .record(
      z.string(),
      z.object({
        perSecond: z.number().optional(),
        ageMs: z.number(),
        used: z.number(),
        askedPerSecond: z.number(),
      }),
    )
    .optional(),
  /**
   * Runners that are leaving, as far as any entry knows; omitted by releases
   * that don't send them.
   */
  leavingRunners: z.array(leavingRunnerSchema).optional(),
  /** Likewise, runners that were removed a short time ago. */
  goneRunners: z.array(goneRunnerSchema).optional(),
  /**
   * Limits by pool and organisation, for organisations that may not send all of
   * their requests; omitted by holders without fair shares.
   */
  organisationShares: z
    .record(z.string(), z.record(z.string(), shareLimitSchema))
    .optional(),
  /**
   * Speed and its age in ms, by runner, for runners that are slower or faster
   * than usual; omitted by releases that don't send them.
   */
  runnerSpeeds: z
    .record(z.string(), z.tuple([z.number(), z.number()]))
    .optional(),
  /**
   * Requests that may crash runners; omitted by releases that don't send them.
   */
  suspects: suspectListSchema.optional(),
  /** Omitted by releases that have no replicas. */
  replicas: replicaUpdateSchema.optional(),
});

export const ensureAdapterInputSchema = z.object({
  runnerId: z.string(),
  model: z.string(),
  adapter: z.string(),
});

export const ensureAdapterOutputSchema = z.object({
  isThere: z.boolean(),
  reason: z.string(),
});

/** The holder that queries its predecessor. */
export const successorHolderSchema = z.object({
  generation: z.number(),
  address: z.string(),
});

export type SuccessorHolder = z.infer<typeof successorHolderSchema>;

/** The answer of a former holder to its successor. */
export const lastOrderOutputSchema = z.object({
  /** Time since the last order; undefined if it gave none. */
  agoMs: z.number().optional(),
  /** Uptime of the answering process. */
  upMs: z.number().default(0),
  /** It is leaving or can't reach the store, and gives no more orders. */
  isOver: z.boolean(),
});

/** A transfer of the lease from one peer to another. */
export const leaseHandoverSchema = z.object({
  generation: z.number(),
  /** Increases with each handover within a generation. */
  step: z.number(),
});

export type LeaseHandover = z.infer<typeof leaseHandoverSchema>;
export type LastOrder = z.infer<typeof lastOrderOutputSchema>;
export type ExchangeInput = z.infer<typeof exchangeInputSchema>;
export type ExchangeOutput = z.infer<typeof exchangeOutputSchema>;

/** From a process without recent state: the holder of the lease, if known. */
export interface NotHolder {
  kind: 'not-holder';
  holderAddress?: string;
}

export type EnsureAdapterInput = z.infer<typeof ensureAdapterInputSchema>;
export type EnsureAdapterOutput = z.infer<typeof ensureAdapterOutputSchema>;

/** A configuration for a peer that can't read it from the store. */
export const peerConfigSchema = z.object({
  version: z.number(),
  /** SHA-256 of the bytes, hex-encoded. */
  checksum: z.string(),
  /** Base64-encoded. */
  bytes: z.string(),
});

export type PeerConfig = z.infer<typeof peerConfigSchema>;

/** The calls that each entry answers for its peers. */
export interface PeerHandlers extends Omit<HolderHandlers, 'grantRetries'> {
  /** Undefined until a configuration is in force. */
  config(): PeerConfig | undefined;
  /** Undefined if the holder is not known or doesn't answer. */
  requestRetries(input: RetryGrantInput): Promise<RetryGrant | undefined>;
  /** Keeps origin records for the sender. */
  noteOrigins(input: NoteOriginsInput): void;
  findOrigins(input: FindOriginsInput): FindOriginsOutput;
}

/** The calls that the holder answers for entries. */
export interface HolderHandlers {
  exchange(input: ExchangeInput): ExchangeOutput | NotHolder;
  ensureAdapter(input: EnsureAdapterInput): Promise<EnsureAdapterOutput>;
  permitTrial(input: TrialInput): TrialOutput;
  /** Undefined from a process that is not the holder. */
  grantRetries(input: RetryGrantInput): RetryGrant | undefined;
  lastOrder(input: SuccessorHolder): LastOrder;
  takeOver(handover: LeaseHandover): boolean;
}

const trpc = initTRPC.create();

export function createPeerRouter(handlers: PeerHandlers) {
  return trpc.router({
    exchange: trpc.procedure
      .input(exchangeInputSchema)
      .mutation(({input}) => handlers.exchange(input)),
    ensureAdapter: trpc.procedure
      .input(ensureAdapterInputSchema)
      .mutation(({input}) => handlers.ensureAdapter(input)),
    permitTrial: trpc.procedure
      .input(trialInputSchema)
      .mutation(({input}) => handlers.permitTrial(input)),
    requestRetries: trpc.procedure
      .input(retryGrantInputSchema)
      .mutation(({input}) => handlers.requestRetries(input)),
    noteOrigins: trpc.procedure
      .input(noteOriginsInputSchema)
      .mutation(({input}) => handlers.noteOrigins(input)),
    findOrigins: trpc.procedure
      .input(findOriginsInputSchema)
      .output(findOriginsOutputSchema)
      .mutation(({input}) => handlers.findOrigins(input)),
    takeOver: trpc.procedure
      .input(leaseHandoverSchema)
      .mutation(({input}) => handlers.takeOver(input)),
    config: trpc.procedure
      .output(peerConfigSchema.optional())
      .query(() => handlers.config()),
    lastOrder: trpc.procedure
      .input(successorHolderSchema)
      .query(({input}) => handlers.lastOrder(input)),
  });
}

export type PeerRouter = ReturnType<typeof createPeerRouter>;
