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
  addendSchema,
  addendsSchema,
  addressSchema,
  amountSchema,
  countsSchema,
  listOf,
  ordinalSchema,
  recordOf,
  textSchema,
} from './contractRanges.js';
import {
  retryGrantInputSchema,
  type RetryGrant,
  type RetryGrantInput,
} from './retryGrantContract.js';

/** Requests that one entry admits and then doesn't send between two exchanges. */
const MAX_UNSENT = 100_000;
const MAX_USE = Number.MAX_SAFE_INTEGER;

/** The models and adapters that one runner holds. */
const runnerCopiesSchema = z.object({
  runnerId: textSchema,
  /** The incarnation that holds them; absent from holders of earlier releases. */
  bornMs: ordinalSchema.optional(),
  models: listOf(textSchema),
  /** Each as the names of its model and adapter, joined by a slash. */
  adapters: listOf(textSchema),
  /** A model is being loaded or unloaded, so no adapter can be fetched. */
  isBusy: z.boolean(),
});

export type RunnerCopies = z.infer<typeof runnerCopiesSchema>;

/** A runner whose registration was removed, and its last heartbeat before. */
const goneRunnerSchema = z.object({
  runnerId: textSchema,
  bornMs: ordinalSchema,
  /** Negative for a start whose registration has not been read. */
  heartbeatNumber: z.number().int(),
});

/** A start of a runner that is leaving. */
const leavingRunnerSchema = z.object({
  runnerId: textSchema,
  bornMs: ordinalSchema,
});

/**
 * Part of its requests that an organisation may send: all that are more urgent
 * than a priority, and a share of those with this priority.
 */
const shareLimitSchema = z.tuple([amountSchema, amountSchema]).readonly();

/** Admitted requests without a response, their work, and that times its target. */
const poolBacklogSchema = z.object({
  requests: addendSchema,
  work: addendSchema,
  workMs: addendSchema,
});

/** An entry, with the properties by which standbys and relays are chosen. */
const memberSchema = z.object({
  address: addressSchema,
  failureDomain: textSchema,
  /** Processor cores that the process may use. */
  processorShare: amountSchema,
});

/** An entry that keeps origin records of others. */
const replicaSchema = z.object({
  address: addressSchema,
  failureDomain: textSchema,
});

/** Replicas of origin records; omitted if the receiver knows this version. */
const replicaUpdateSchema = z.object({
  version: textSchema,
  replicas: listOf(replicaSchema).optional(),
});

export type ReplicaUpdate = z.infer<typeof replicaUpdateSchema>;

/** Streams, each as the id of the request that began it and the version. */
const originsSchema = listOf(z.tuple([textSchema, textSchema]));

export const noteOriginsInputSchema = z.object({
  origins: originsSchema,
  /** The service of each that the receiver also appends to the store. */
  services: z.array(z.string().nullable()).optional(),
});

export const findOriginsInputSchema = z.object({
  requestIds: listOf(textSchema),
});

export const findOriginsOutputSchema = z.object({
  /** Those of the streams that are known. */
  origins: originsSchema,
  /** Services whose runners have had several versions lately. */
  mixedServices: listOf(textSchema),
  /** The version of each of the other services. */
  soleVersions: listOf(z.tuple([textSchema, textSchema])).optional(),
  /** Whether the sender has seen all versions that matter. */
  isHistoryComplete: z.boolean(),
  /**
   * How long the sender has followed the runners, and remembered which versions
   * it used, in ms; absent until it has read the runners.
   */
  followedMs: amountSchema.optional(),
});

export type NoteOriginsInput = z.infer<typeof noteOriginsInputSchema>;
export type FindOriginsInput = z.infer<typeof findOriginsInputSchema>;
export type FindOriginsOutput = z.infer<typeof findOriginsOutputSchema>;

const usageReportSchema = z
  .object({
    organisation: textSchema,
    asked: addendSchema,
    /** Negative if more was refunded than admitted since the last report. */
    used: amountSchema.catch(0),
    /** What was not run; omitted by releases that don't tell its time. */
    refunds: listOf(
      z.object({amount: addendSchema, agoMs: addendSchema}),
    ).optional(),
  })
  .transform(report => ({...report, used: admittedOrRefunded(report)}));

/**
 * What was refunded is part of `used`, so `used` can't be lower: the difference
 * would lower the use by other requests.
 */
function admittedOrRefunded({
  used,
  refunds,
}: {
  used: number;
  refunds?: ReadonlyArray<{amount: number}>;
}): number {
  if (!refunds) return used;
  const refunded = refunds.reduce((sum, {amount}) => sum + amount, 0);
  return Math.max(used, 0 - refunded);
}

/**
 * Demand since the previous batch. A batch is sent again until it is answered.
 */
const demandBatchSchema = z.object({
  /** Differs from the id of the previous batch. */
  batchId: textSchema,
  demand: listOf(
    z.object({
      model: textSchema,
      arrivals: addendSchema,
      promptTokens: addendSchema,
      outputTokens: addendSchema,
      adapters: addendsSchema,
    }),
  ),
  /** Request outcomes by runner; omitted by releases that don't send them. */
  outcomes: listOf(
    z.object({
      runnerId: textSchema,
      successes: addendSchema,
      failures: addendSchema,
    }),
  ).optional(),
  /** Usage counted against caps; omitted by releases that don't send it. */
  usage: listOf(usageReportSchema).optional(),
  /** Usage of rate-limited runners; omitted by releases that don't send it. */
  rateUse: listOf(
    z.object({
      runnerId: textSchema,
      asked: addendSchema,
      /** Negative if a request that was counted before was not sent. */
      used: z.number().min(-MAX_UNSENT).max(MAX_USE).catch(0),
    }),
  ).optional(),
  /** Work by organisation; omitted by entries without fair shares. */
  demandByOrganisation: listOf(
    z.object({
      pool: textSchema,
      organisation: textSchema,
      priority: amountSchema,
      asked: addendSchema,
      admitted: addendSchema,
    }),
  ).optional(),
  /** Work that has ended; omitted by entries without fair shares. */
  poolProgress: listOf(
    z.object({
      pool: textSchema,
      completed: addendSchema,
      dropped: addendSchema,
    }),
  ).optional(),
});

export type DemandBatch = z.infer<typeof demandBatchSchema>;

/**
 * State that an entry sends to the holder, or to a relay that forwards it,
 * several times a second. A relay sends the combined state of its group.
 */
export const exchangeInputSchema = z.object({
  /** Address of the sending process. */
  entry: addressSchema,
  /** The entry itself and the entries that it relays for. */
  members: listOf(memberSchema),
  /** Version of the configuration in force there; 0 if there is none. */
  configVersion: ordinalSchema,
  /** Position of the last change to the runners that it has read. */
  runnersChange: ordinalSchema,
  /** Last revision of the runners' copies that it has received. */
  known: z.object({epoch: textSchema, revision: ordinalSchema}).optional(),
  openWork: addendsSchema,
  /** Adapters used by its requests in flight, by runner. */
  adaptersInUse: recordOf(listOf(textSchema)),
  /** Requests in flight, by runner and model. */
  modelsInUse: recordOf(addendsSchema),
  /** Requests waiting for a copy, by model. */
  waiting: addendsSchema,
  batch: demandBatchSchema,
  /** Backlogs by pool; omitted by entries without fair shares. */
  poolBacklogs: recordOf(poolBacklogSchema).optional(),
  /** Omitted by releases that don't report crashes. */
  crashes: crashReportSchema.optional(),
  /**
   * Rate limits that runners have announced or withdrawn; omitted by releases
   * that don't send them.
   */
  rateLimits: listOf(
    z.object({
      runnerId: textSchema,
      perSecond: amountSchema.optional(),
      ageMs: amountSchema,
    }),
  ).optional(),
  /**
   * Runners that are leaving, as far as known there;
   * omitted by releases that don't send them.
   */
  leavingRunners: listOf(leavingRunnerSchema).optional(),
  /** Likewise, runners that were removed a short time ago. */
  goneRunners: listOf(goneRunnerSchema).optional(),
  /**
   * Speeds of runners that were sampled since the last exchange; omitted by
   * releases that don't send them.
   */
  runnerSpeeds: listOf(
    z.object({
      runnerId: textSchema,
      speed: amountSchema.positive(),
      samples: amountSchema.positive(),
    }),
  ).optional(),
  /** Last version of the list of suspects that it has received. */
  knownSuspects: suspectListVersionSchema.optional(),
  /** Version of the list of replicas that it has received. */
  knownReplicas: textSchema.optional(),
});

/** State that the holder, or a relay on its behalf, returns to an entry. */
export const exchangeOutputSchema = z.object({
  kind: z.literal('told'),
  /** Address of the holder that produced the state. */
  holder: addressSchema,
  /** Whether the holder may give orders; false shortly after a lapse. */
  isOrdering: z.boolean(),
  /** Age of the state in ms; 0 from a holder that may give orders. */
  ageMs: amountSchema,
  /** Highest configuration version that any entry has reported. */
  configVersion: ordinalSchema,
  /** Last position of a change to the runners that any entry has reported. */
  runnersChange: ordinalSchema,
  /** Time since the holder sent its last answered read of the runners, in ms. */
  runnersReadAgeMs: amountSchema,
  /**
   * Time since the holder itself last confirmed that its configuration is
   * current, in ms; omitted by releases that don't send it, and nothing is
   * confirmed then.
   */
  configReadAgeMs: amountSchema.optional(),
  /** Number of entries seen within the last seconds, including the receiver. */
  entries: amountSchema,
  /** Standbys for the lease, in the order in which they acquire it. */
  standbys: listOf(addressSchema),
  /**
   * Relays in the receiver's failure domain; empty if all entries contact the
   * holder directly.
   */
  relays: listOf(addressSchema),
  /** Age of each load from the weight store that still counts, in ms. */
  loadAgesMs: listOf(amountSchema),
  /** Changes to the runners' copies since the revision that the entry knows. */
  copies: z.object({
    epoch: textSchema,
    revision: ordinalSchema,
    isWhole: z.boolean(),
    runners: listOf(runnerCopiesSchema),
    gone: listOf(textSchema),
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
  usage: recordOf(
    z.object({
      left: amountSchema,
      freedPerSecond: amountSchema,
      askedPerSecond: amountSchema,
    }),
  ).optional(),
  /** Rate limits by runner, with the usage of the whole fleet. */
  rateLimits: recordOf(
    z.object({
      perSecond: amountSchema.optional(),
      ageMs: amountSchema,
      used: amountSchema,
      askedPerSecond: amountSchema,
    }),
  ).optional(),
  /**
   * Runners that are leaving, as far as any entry knows; omitted by releases
   * that don't send them.
   */
  leavingRunners: listOf(leavingRunnerSchema).optional(),
  /** Likewise, runners that were removed a short time ago. */
  goneRunners: listOf(goneRunnerSchema).optional(),
  /**
   * Limits by pool and organisation, for organisations that may not send all of
   * their requests; omitted by holders without fair shares.
   */
  organisationShares: recordOf(recordOf(shareLimitSchema)).optional(),
  /**
   * Speed and its age in ms, by runner, for runners that are slower or faster
   * than usual; omitted by releases that don't send them.
   */
  runnerSpeeds: recordOf(z.tuple([amountSchema, amountSchema])).optional(),
  /**
   * Requests that may crash runners; omitted by releases that don't send them.
   */
  suspects: suspectListSchema.optional(),
  /** Omitted by releases that have no replicas. */
  replicas: replicaUpdateSchema.optional(),
});

/** From a process without recent state: the holder of the lease, if known. */
const notHolderSchema = z.object({
  kind: z.literal('not-holder'),
  holderAddress: addressSchema.optional(),
});

export type NotHolder = z.infer<typeof notHolderSchema>;

export const exchangeAnswerSchema = z.discriminatedUnion('kind', [
  exchangeOutputSchema,
  notHolderSchema,
]);

export const ensureAdapterInputSchema = z.object({
  runnerId: textSchema,
  model: textSchema,
  adapter: textSchema,
});

export const ensureAdapterOutputSchema = z.object({
  isThere: z.boolean(),
  reason: textSchema,
});

/** The holder that queries its predecessor. */
export const successorHolderSchema = z.object({
  generation: ordinalSchema,
  address: addressSchema,
});

export type SuccessorHolder = z.infer<typeof successorHolderSchema>;

/** The answer of a former holder to its successor. */
export const lastOrderOutputSchema = z.object({
  /** Time since the last order; undefined if it gave none. */
  agoMs: amountSchema.optional(),
  /** Uptime of the answering process. */
  upMs: amountSchema.default(0),
  /** It is leaving or can't reach the store, and gives no more orders. */
  isOver: z.boolean(),
});

/** A transfer of the lease from one peer to another. */
export const leaseHandoverSchema = z.object({
  generation: ordinalSchema,
  /** Increases with each handover within a generation. */
  step: ordinalSchema,
});

export type LeaseHandover = z.infer<typeof leaseHandoverSchema>;
export type LastOrder = z.infer<typeof lastOrderOutputSchema>;
export type ExchangeInput = z.infer<typeof exchangeInputSchema>;
export type ExchangeOutput = z.infer<typeof exchangeOutputSchema>;

export type EnsureAdapterInput = z.infer<typeof ensureAdapterInputSchema>;
export type EnsureAdapterOutput = z.infer<typeof ensureAdapterOutputSchema>;

/** A configuration for a peer that can't read it from the store. */
export const peerConfigSchema = z.object({
  version: ordinalSchema,
  /** SHA-256 of the bytes, hex-encoded. */
  checksum: textSchema,
  /** Base64-encoded; bounded by the length of a message. */
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
