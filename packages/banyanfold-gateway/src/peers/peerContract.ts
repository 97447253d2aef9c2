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

/** What one runner holds. */
const runnerCopiesSchema = z.object({
  runnerId: z.string(),
  models: z.array(z.string()),
  /** As model and name, joined by a slash. */
  adapters: z.array(z.string()),
  /** A model comes or goes; no adapter can be fetched meanwhile. */
  isBusy: z.boolean(),
});

export type RunnerCopies = z.infer<typeof runnerCopiesSchema>;

const countsSchema = z.record(z.string(), z.number());

/** An entry, as those that choose among entries see it. */
const memberSchema = z.object({
  address: z.string(),
  failureDomain: z.string(),
  /** Cores' worth of processor that it may use. */
  processorShare: z.number(),
});

/** What was asked for since the batch before; sent again until it is answered. */
const demandBatchSchema = z.object({
  /** Differs from that of the batch before. */
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
  /** Answers by runner; left out by a process of a version without them. */
  outcomes: z
    .array(
      z.object({
        runnerId: z.string(),
        successes: z.number(),
        failures: z.number(),
      }),
    )
    .optional(),
  /** Use of the caps; left out by a process of a version without them. */
  usage: z
    .array(
      z.object({
        organisation: z.string(),
        asked: z.number(),
        used: z.number(),
      }),
    )
    .optional(),
  /** Use of rate-limited runners; left out likewise. */
  rateUse: z
    .array(
      z.object({runnerId: z.string(), asked: z.number(), used: z.number()}),
    )
    .optional(),
});

export type DemandBatch = z.infer<typeof demandBatchSchema>;

/**
 * What an entry tells the holder of orders, or the relay that passes it on, some
 * times a second. A relay tells of its whole group at once.
 */
export const exchangeInputSchema = z.object({
  /** Address of the process that tells. */
  entry: z.string(),
  /** The entry itself, and those that it relays for. */
  members: z.array(memberSchema),
  /** Version of the configuration in force there; 0 for none. */
  configVersion: z.number(),
  /** Position of the last change of the runners that it has read. */
  runnersChange: z.number(),
  /** Up to where it has heard what the runners hold. */
  known: z.object({epoch: z.string(), revision: z.number()}).optional(),
  openWork: countsSchema,
  /** Adapters that its requests use now, by runner. */
  adaptersInUse: z.record(z.string(), z.array(z.string())),
  /** Requests under way, by runner and model. */
  modelsInUse: z.record(z.string(), countsSchema),
  /** Requests that wait now for a copy, by model. */
  waiting: countsSchema,
  batch: demandBatchSchema,
  /** Left out by a process of a version that doesn't tell of them. */
  crashes: crashReportSchema.optional(),
  /** Limits that runners have named, or have ceased to name; left out likewise. */
  rateLimits: z
    .array(
      z.object({
        runnerId: z.string(),
        perSecond: z.number().optional(),
        ageMs: z.number(),
      }),
    )
    .optional(),
  /** Up to where it has heard of the suspects. */
  knownSuspects: suspectListVersionSchema.optional(),
});

/** What the holder, or a relay, tells back. */
export const exchangeOutputSchema = z.object({
  kind: z.literal('told'),
  /** Address of the holder whose word it is. */
  holder: z.string(),
  /** It may give orders now; else its lease has lapsed a moment ago. */
  isOrdering: z.boolean(),
  /** Since what is told was known, in ms; 0 from a holder that orders. */
  ageMs: z.number(),
  /** The highest version that an entry has told. */
  configVersion: z.number(),
  /** The last position of a change of the runners that an entry has told. */
  runnersChange: z.number(),
  /** Since the holder itself last read the runners, in ms. */
  runnersReadAgeMs: z.number(),
  /**
   * Since the holder itself last confirmed its configuration, in ms; left out by
   * a process of a version without it, which confirms nothing.
   */
  configReadAgeMs: z.number().optional(),
  /** Entries heard of within the last seconds, this one included. */
  entries: z.number(),
  /** Entries that stand by for the lease, in the order in which they take it. */
  standbys: z.array(z.string()),
  /** Relays in the failure domain of who asks; empty where all ask the holder. */
  relays: z.array(z.string()),
  /** Since each load from the weight store that still counts, in ms. */
  loadAgesMs: z.array(z.number()),
  /** Changes of what the runners hold since what the entry knew. */
  copies: z.object({
    epoch: z.string(),
    revision: z.number(),
    isWhole: z.boolean(),
    runners: z.array(runnerCopiesSchema),
    gone: z.array(z.string()),
  }),
  /** Until a copy serves, for models lately asked for that nobody holds. */
  copiesInMs: countsSchema,
  /** Work of the other entries, by runner; none where it is left out. */
  peersWork: countsSchema,
  /** Requests that the other entries have open there, likewise. */
  peersRequests: countsSchema,
  /** Runners that fail more than their peers, and for how long to avoid each. */
  ejectedForMs: countsSchema.optional(),
  /** What is left of the caps, of organisations that were asked for lately. */
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
  /** The same limits, by runner, with what the fleet made of them. */
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
  /** Requests that may crash runners; left out as in what entries tell. */
  suspects: suspectListSchema.optional(),
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

/** A holder that asks the one before it. */
export const successorHolderSchema = z.object({
  generation: z.number(),
  address: z.string(),
});

export type SuccessorHolder = z.infer<typeof successorHolderSchema>;

/** What a former holder answers to the one after it. */
export const lastOrderOutputSchema = z.object({
  /** Since the last order; undefined when none was given. */
  agoMs: z.number().optional(),
  /** Since the process that answers has started. */
  upMs: z.number().default(0),
  /** It is leaving or out of touch with the store, and orders no more. */
  isOver: z.boolean(),
});

/** The lease on orders, as it goes from peer to peer. */
export const leaseHandoverSchema = z.object({
  generation: z.number(),
  /** Rises with each handover within a generation. */
  step: z.number(),
});

export type LeaseHandover = z.infer<typeof leaseHandoverSchema>;
export type LastOrder = z.infer<typeof lastOrderOutputSchema>;
export type ExchangeInput = z.infer<typeof exchangeInputSchema>;
export type ExchangeOutput = z.infer<typeof exchangeOutputSchema>;

/** From a process that can't tell: who holds the lease, as far as it knows. */
export interface NotHolder {
  kind: 'not-holder';
  holderAddress?: string;
}

export type EnsureAdapterInput = z.infer<typeof ensureAdapterInputSchema>;
export type EnsureAdapterOutput = z.infer<typeof ensureAdapterOutputSchema>;

/** A configuration, for a peer that can't read it from the store. */
export const peerConfigSchema = z.object({
  version: z.number(),
  /** SHA-256 of the bytes, in hexadecimal. */
  checksum: z.string(),
  /** In base64. */
  bytes: z.string(),
});

export type PeerConfig = z.infer<typeof peerConfigSchema>;

/** What each entry answers to its peers. */
export interface PeerHandlers extends HolderHandlers {
  /** Undefined before it has one. */
  config(): PeerConfig | undefined;
}

/** What the holder of orders answers to the entries. */
export interface HolderHandlers {
  exchange(input: ExchangeInput): ExchangeOutput | NotHolder;
  ensureAdapter(input: EnsureAdapterInput): Promise<EnsureAdapterOutput>;
  permitTrial(input: TrialInput): TrialOutput;
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
