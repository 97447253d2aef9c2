import type {BanyanfoldError} from '@banyanfold/core';
import type {ResultAsync} from 'neverthrow';
import {z} from 'zod';
import {appendOnce} from './appendOnce.js';
import {STREAMS, type LogRecord, type LogService} from './types.js';

/** Names the entry that is the planner from this record on. */
export const plannerRecordSchema = z.object({
  kind: z.literal('planner'),
  vmId: z.string(),
  nonce: z.string(),
});

export interface PlannerState {
  /** The offset of the planner's record in the stream. */
  epoch: number;
  vmId: string;
}

/**
 * Folds the `planner` stream. The record with the highest offset names the
 * planner, so trimmed records have no effect on the result.
 *
 * @example
 * fold.apply(record);
 * if (fold.state?.epoch !== ownEpoch) stopPlanning();
 */
export class PlannerFold {
  private current: PlannerState | undefined;

  get state(): PlannerState | undefined {
    return this.current;
  }

  apply({offset, value}: LogRecord): void {
    const parsed = plannerRecordSchema.safeParse(value);
    if (!parsed.success || offset <= (this.current?.epoch ?? 0)) return;
    this.current = {epoch: offset, vmId: parsed.data.vmId};
  }
}

export interface PlannerClaimOptions {
  log: LogService;
  vmId: string;
  /** Unique for each attempt, for example a random UUID. */
  nonce: string;
}

/**
 * Makes this VM the planner. A replaced planner that is not yet aware of it can
 * at most cost moves, because agents refuse an epoch lower than one they have
 * seen.
 *
 * @returns the epoch, or the error `log-unavailable` or `append-unknown`.
 * @example
 * const epoch = await claimPlanner({log, vmId, nonce: randomUUID()});
 */
export function claimPlanner({
  log,
  vmId,
  nonce,
}: PlannerClaimOptions): ResultAsync<number, BanyanfoldError> {
  const value = {kind: 'planner', vmId, nonce};
  return appendOnce({log, stream: STREAMS.planner, value});
}
