import type {BanyanfoldError} from '@banyanfold/core';
import type {ResultAsync} from 'neverthrow';
import {z} from 'zod';
import {appendOnce} from './appendOnce.js';
import {STREAMS, type LogRecord, type LogService} from './types.js';

/** Says which entry plans from now on. */
export const plannerRecordSchema = z.object({
  kind: z.literal('planner'),
  vmId: z.string(),
  nonce: z.string(),
});

export interface PlannerState {
  /** The offset of the planner's record. */
  epoch: number;
  vmId: string;
}

/**
 * Folds the `planner` stream: the record with the highest offset names the
 * planner. Trimmed records change nothing, for only the last one counts.
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
  /** A new one for each try, for example a random UUID. */
  nonce: string;
}

/**
 * Becomes the planner. A planner that was replaced and doesn't know it costs
 * moves at most: agents refuse an epoch lower than one they have seen.
 *
 * @returns the epoch, or `log-unavailable`, `append-unknown`.
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
