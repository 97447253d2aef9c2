import {z} from 'zod';

const durationMs = z.number().nonnegative();

/** Settings of the gateway, each with its unit and where its figure is from. */
export const gatewayOptionsSchema = z.strictObject({
  /** A new connection to a runner takes about 1 ms; lost packets take more. */
  connectTimeoutMs: durationMs.default(400),
  /**
   * A connection rests this long before it is used again: a runner that sends
   * a second answer sends it within a few ms, and it closes the connection
   * instead of being taken for the next request's answer.
   */
  reuseRestMs: durationMs.default(8),
  /** Idle connections to runners are closed after this; runners keep 5 s up. */
  runnerIdleMs: durationMs.default(4_000),
  /** An answer is given this long before the caller's deadline passes. */
  deadlineMarginMs: durationMs.default(15),
  /** An attempt with less than this left can't succeed. */
  minAttemptMs: durationMs.default(40),
  /** Pause after a runner couldn't be reached; doubles up to the cap. */
  unreachablePauseMs: durationMs.default(500),
  unreachablePauseCapMs: durationMs.default(4_000),
  /** Interval at which an entry tells the holder its demand. */
  exchangeIntervalMs: durationMs.default(250),
  /** The shortest one, while callers wait for copies and entries are few. */
  urgentIntervalMs: durationMs.default(60),
  /** Interval of the holder's reports from each runner, where it has the time. */
  reportIntervalMs: durationMs.default(500),
  /**
   * Reports a second that the holder asks for with one core; with a share of one
   * so much fewer. One is reckoned at 1 ms of it, so that a tenth goes
   * into reports; not measured alone.
   */
  reportsPerCoreSecond: z.number().positive().default(100),
  /**
   * The same of runners that nothing is known of yet, after some at once: a process
   * that gets the lease on thousands of runners has to go on renewing it.
   */
  firstReportsPerCoreSecond: z.number().positive().default(300),
  /** The same from when an order is expected to be over; loads take 0.5 s up. */
  busyReportIntervalMs: durationMs.default(120),
  /** Interval of the holder's decisions on copies of models. */
  planIntervalMs: durationMs.default(150),
  /** An adapter of 66 MB takes up to 14 ms to fetch. */
  adapterSettleMs: durationMs.default(16),
  /**
   * A call to another entry that takes longer is lost. A small VM stood still for
   * 0.28 s at times, when its share was used up and garbage was collected; both
   * ends may, and a call that is given up costs the machine as much as one that
   * is heard.
   */
  peerTimeoutMs: durationMs.default(1_000),
  /**
   * A caller waits for its adapter no longer than this for each try: behind a
   * holder that is frozen it would lose the time to go elsewhere.
   */
  adapterTimeoutMs: durationMs.default(400),
  /** The balancer notices within two checks a second apart. */
  noticeMs: durationMs.default(2_600),
  /** Left of the grace period when what still runs is ended. */
  graceMarginMs: durationMs.default(500),
  /** Whole answers up to this are gathered before they go on. */
  maxGatheredBytes: z.number().int().positive().default(8_388_608),
  /** Share of the allowed repeats that is used, so that a count that differs
   * by some requests does not pass the bound. */
  retryBudgetShare: z.number().min(0).max(1).default(0.85),
});

export type GatewayOptions = z.infer<typeof gatewayOptionsSchema>;

export const DEFAULT_OPTIONS: GatewayOptions = gatewayOptionsSchema.parse({});
