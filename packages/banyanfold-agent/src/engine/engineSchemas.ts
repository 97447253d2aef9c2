import {z} from 'zod';

/** The engine's load report; it lags behind the engine's current state. */
export const engineReportSchema = z.object({
  takenAtMs: z.number(),
  running: z.number(),
  queued: z.number(),
  kvUsedBytes: z.number(),
  kvCapacityBytes: z.number(),
  memoryCapacityBytes: z.number(),
  role: z.string().default(''),
  models: z.array(
    z.object({
      artifact: z.string(),
      bytes: z.number(),
      state: z.enum(['loading', 'loaded', 'unloading']),
    }),
  ),
  highestFencing: z.number().default(0),
});

export const cacheEventsSchema = z.object({
  nextSeq: z.number(),
  events: z.array(
    z.object({
      seq: z.number(),
      atMs: z.number(),
      kind: z.enum(['stored', 'evicted']),
      prefixHash: z.string(),
      artifact: z.string(),
    }),
  ),
});

export const orderAcceptedSchema = z.object({
  orderId: z.string(),
  receivedAtMs: z.number(),
});

export const orderRefusedSchema = z.object({
  code: z.string().default(''),
  highestFencing: z.number().optional(),
});

export const cancelResponseSchema = z.object({
  state: z.enum(['cancelled', 'finished', 'unknown']),
});

export type EngineReport = z.infer<typeof engineReportSchema>;
export type CacheEvents = z.infer<typeof cacheEventsSchema>;
export type CancelState = z.infer<typeof cancelResponseSchema>['state'];

/** An order to the engine; idempotent by `orderId`. */
export interface EngineOrder {
  orderId: string;
  kind: 'load' | 'unload' | 'set-role';
  artifact: string;
  bytes: number;
  role: string;
  fencing: number;
}

/** The result of one transmission of an order. */
export type OrderResult =
  /** Engine clock: reports taken later reflect the order. */
  | {kind: 'accepted'; visibleAfterMs: number}
  | {kind: 'stale-fencing'; highestFencing: number; engineNowMs: number}
  | {kind: 'refused'; code: string; engineNowMs: number}
  /** Nothing was sent. */
  | {kind: 'not-sent'}
  /** The engine may have accepted the order, or may still accept it. */
  | {kind: 'answer-lost'};
