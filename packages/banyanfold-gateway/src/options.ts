import {z} from 'zod';

const durationMs = z.number().nonnegative();

/** Settings of the gateway, with the reasons for their defaults. */
export const gatewayOptionsSchema = z.strictObject({
  /** A new connection takes about 1 ms, more if packets are lost. */
  connectTimeoutMs: durationMs.default(400),
  /**
   * Idle time before a connection is reused. A faulty runner that sends a
   * second response does so within a few ms; the connection is then closed,
   * instead of that response being taken for the next request's.
   */
  reuseRestMs: durationMs.default(8),
  /** Idle connections are closed after this; runners keep them at least 5 s. */
  runnerIdleMs: durationMs.default(4_000),
  /** A response is sent at least this long before the caller's deadline. */
  deadlineMarginMs: durationMs.default(15),
  /** No attempt is made with less time left, as it could not succeed. */
  minAttemptMs: durationMs.default(40),
  /** Pause after a failed connection to a runner; doubles up to the cap. */
  unreachablePauseMs: durationMs.default(500),
  unreachablePauseCapMs: durationMs.default(4_000),
  /** Interval at which an entry reports its demand to the holder. */
  exchangeIntervalMs: durationMs.default(250),
  /**
   * The shortest exchange interval, used while callers wait for copies and
   * entries are few.
   */
  urgentIntervalMs: durationMs.default(60),
  /** Interval of the holder's reports from each runner, if its load allows. */
  reportIntervalMs: durationMs.default(500),
  /**
   * Reports that the holder requests per second and CPU core, in proportion to
   * its CPU share. A report is estimated to take 1 ms, so that a tenth of the
   * CPU is used for them.
   */
  reportsPerCoreSecond: z.number().positive().default(100),
  /**
   * The same limit for runners without a report so far, after an initial batch.
   * A new holder with thousands of runners must still be able to renew its
   * lease.
   */
  firstReportsPerCoreSecond: z.number().positive().default(300),
  /** Interval of reports once an order is due; loads take 0.5 s or more. */
  busyReportIntervalMs: durationMs.default(120),
  /** Interval at which the holder plans the copies of models. */
  planIntervalMs: durationMs.default(150),
  /** Wait after an adapter is ordered; 66 MB take up to 14 ms to fetch. */
  adapterSettleMs: durationMs.default(16),
  /**
   * Timeout of calls to other entries. A small VM stalled for 0.28 s at times,
   * when its CPU share was used up and garbage was collected. Both ends may
   * stall, and a call that times out costs as much CPU as one that succeeds.
   */
  peerTimeoutMs: durationMs.default(1_000),
  /**
   * Longest wait for an adapter in each attempt, so that a frozen holder leaves
   * the request enough time for another runner.
   */
  adapterTimeoutMs: durationMs.default(400),
  /**
   * How long a stream and its callers' returns can last. For this time the
   * version that began a stream is remembered, and a version counts after its
   * last runner has left.
   */
  streamMemoryMs: durationMs.default(60_000),
  /**
   * Shortest interval between batches of stream origins to a replica, in fleets
   * in which each entry is one and in larger ones. The streams of an interval
   * are refused if their entry ends before it has sent them.
   */
  originBatchMs: durationMs.default(20),
  largeFleetOriginBatchMs: durationMs.default(250),
  /** Time for the balancer to notice a drain: two checks, one second apart. */
  noticeMs: durationMs.default(2_600),
  /**
   * Time for a request that is under way on an open connection when the process
   * stops accepting others. It takes a few ms; one that gets lost is sent again
   * after 0.2 s. Must be less than `graceMarginMs`.
   */
  closingMs: durationMs.default(200),
  /** Time left of the grace period when open requests are ended. */
  graceMarginMs: durationMs.default(500),
  /**
   * Divides capacity between organisations while demand exceeds it. Off by
   * default: without it, requests are served by priority and in order of
   * arrival, as in releases before.
   */
  fairShares: z.boolean().default(false),
  /** Largest response that is buffered; streams are not limited. */
  maxGatheredBytes: z.number().int().positive().default(8_388_608),
  /**
   * Share of the process's memory that request bodies, gathered responses and
   * bytes that callers have not taken may fill. Of the smallest machine, 210 MB,
   * it is 42 MB. The process peaks at 61 to 101 MB without such data
   * (docs/CAPACITY.md), and buffers that are no longer in use occupy as much
   * again until they are collected.
   */
  heldMemoryShare: z.number().positive().max(0.5).default(0.2),
  /**
   * Share of that bound up to which new requests are admitted. The rest is for
   * the responses to those that are open.
   */
  heldAdmittedShare: z.number().positive().max(1).default(0.8),
  /**
   * Share of that bound up to which streams are read ahead of their callers:
   * half of what new requests may fill, so that slow callers leave the other
   * half to them.
   */
  heldReadAheadShare: z.number().positive().max(1).default(0.4),
  /**
   * Share of that bound that is reached when responses give way. Each decision
   * orders all responses, so it frees a tenth instead of a few bytes.
   */
  heldRelievedShare: z.number().positive().max(1).default(0.9),
  /**
   * Time without progress after which a transfer counts as stalled. A caller
   * that reads takes bytes in each round trip; a lost packet is sent again
   * after 0.2 s, and a second time 0.4 s later.
   */
  stalledAfterMs: durationMs.default(1_000),
  /**
   * Requests that may wait on a connection for the one before them; a connection
   * with more is closed. A client that waits for its responses sends none ahead.
   */
  maxRequestsAhead: z.number().int().nonnegative().max(10_000).default(100),
  /**
   * Share of the process's memory that the objects of its requests may fill,
   * apart from their data. On the smallest machine, 210 MB, it holds 2,016
   * requests, more than its descriptors allow at once.
   */
  requestMemoryShare: z.number().positive().max(0.5).default(0.15),
  /**
   * Time for the rest of a body after its request was answered. On the slowest
   * link, 7 Mbit/s, 4 MB take 4.8 s.
   */
  unreadBodyMs: durationMs.default(5_000),
  /**
   * Share of the allowed retries that is used, so that a deviation of a few
   * requests in the count does not exceed the limit.
   */
  retryBudgetShare: z.number().min(0).max(1).default(0.85),
});

export type GatewayOptions = z.infer<typeof gatewayOptionsSchema>;

export const DEFAULT_OPTIONS: GatewayOptions = gatewayOptionsSchema.parse({});
