/**
 * Demand of one organisation in one pool since the previous report. A pool is
 * a service, or a service and a model. Work is in thousands of prompt tokens.
 */
export interface ShareDemand {
  pool: string;
  organisation: string;
  /** 0 is the most urgent. */
  priority: number;
  /** Requested work, including that of refused and repeated requests. */
  asked: number;
  /** Work of the requests that were not refused for the share. */
  admitted: number;
}

/** Work of one pool that ended since the previous report. */
export interface PoolProgress {
  pool: string;
  /** Work of the requests whose response has started. */
  completed: number;
  /** Work of the requests that were admitted, but found no place in time. */
  dropped: number;
}

/** Admitted requests whose response has not started. */
export interface PoolBacklog {
  requests: number;
  work: number;
  /** Sum over the requests of their work times the target of their route. */
  workMs: number;
}

/**
 * Part of its requests that an organisation may send: all that are more urgent
 * than `priority`, a share from 0 to 1 of those with this priority, and none of
 * the others. A tuple, because it is sent for each organisation to each entry.
 */
export type ShareLimit = readonly [priority: number, share: number];

/** Limits by pool and organisation; one that is missing may send everything. */
export type ShareLimits = Readonly<
  Record<string, Readonly<Record<string, ShareLimit>>>
>;
