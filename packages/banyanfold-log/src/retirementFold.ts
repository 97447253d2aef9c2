import {z} from 'zod';
import type {LogRecord} from './types.js';

/** Asks to retire one copy of an artifact, relying on others of it. */
export const retireRecordSchema = z.object({
  kind: z.literal('retire'),
  copyId: z.string(),
  artifact: z.string(),
  vmId: z.string(),
  reliesOnCopyIds: z.array(z.string()),
  /** The artifact is published no more: nothing has to remain of it. */
  isUnpublished: z.boolean().default(false),
  nonce: z.string(),
  /** When the relied-on copies were seen as held, by the log's clock. */
  viewedAtMs: z.number(),
});

export type RetireRecord = z.infer<typeof retireRecordSchema>;

export type RetireVerdict =
  | {kind: 'accepted'}
  | {kind: 'void'; why: 'already-retired' | 'relies-on-none' | 'old-view'};

export interface RetirementFoldOptions {
  /** A view older than this when its record is appended is void. */
  maxViewAgeMs?: number;
  /** How long a retirement is remembered; less than the log's retention. */
  memoryMs?: number;
}

export const DEFAULT_RETIREMENT_OPTIONS = {
  maxViewAgeMs: 60_000,
  memoryMs: 30 * 60_000,
} as const;

interface Retired {
  nonce: string;
  retiredAtMs: number;
}

/**
 * Folds the `retirements` stream: a copy may go only if, at its place in the
 * log, one of the copies it relies on has not been retired.
 *
 * Why two, three or n at once can't retire all copies: suppose all copies of
 * an artifact were retired, and take the last record accepted. It relied on a
 * copy other than its own that was not retired before it. That copy, like all,
 * is retired, so its record comes later, and the one taken was not the last.
 * Copies of an artifact that is published no more rely on none; should it be
 * published again, it is an orphan and is loaded like a new one.
 *
 * A retirement is remembered for `memoryMs`, so that every reader whose log
 * reaches that far back decides alike. A process that was paused for longer
 * could rely on a copy whose retirement is forgotten; its view is too old by
 * then, and the record is void.
 *
 * @example
 * const judged = fold.apply(record);
 * if (judged?.verdict.kind === 'accepted') unload(judged.record.copyId);
 */
export class RetirementFold {
  private readonly retired = new Map<string, Retired>();
  private readonly maxViewAgeMs: number;
  private readonly memoryMs: number;

  constructor(options: RetirementFoldOptions = {}) {
    const {maxViewAgeMs, memoryMs} = {
      ...DEFAULT_RETIREMENT_OPTIONS,
      ...options,
    };
    this.maxViewAgeMs = maxViewAgeMs;
    this.memoryMs = memoryMs;
  }

  /** Takes in the next record; the verdict when it asks for a retirement. */
  apply({
    appendedAtMs,
    value,
  }: LogRecord): {record: RetireRecord; verdict: RetireVerdict} | undefined {
    this.dropOld(appendedAtMs);
    const parsed = retireRecordSchema.safeParse(value);
    if (!parsed.success) return undefined;
    const record = parsed.data;
    const verdict = this.judge(record, appendedAtMs);
    return {record, verdict};
  }

  /** Whether the retirement of a copy was accepted and is remembered. */
  isRetired(copyId: string): boolean {
    return this.retired.has(copyId);
  }

  private judge(record: RetireRecord, appendedAtMs: number): RetireVerdict {
    const {copyId, nonce, reliesOnCopyIds, isUnpublished, viewedAtMs} = record;
    const known = this.retired.get(copyId);
    if (known?.nonce === nonce) return {kind: 'accepted'};
    if (known) return {kind: 'void', why: 'already-retired'};
    if (appendedAtMs - viewedAtMs > this.maxViewAgeMs) {
      return {kind: 'void', why: 'old-view'};
    }
    const isCovered = reliesOnCopyIds.some(
      other => other !== copyId && !this.retired.has(other),
    );
    if (!isCovered && !isUnpublished) {
      return {kind: 'void', why: 'relies-on-none'};
    }
    this.retired.set(copyId, {nonce, retiredAtMs: appendedAtMs});
    return {kind: 'accepted'};
  }

  /** The map is in the order of retirement, so the oldest come first. */
  private dropOld(nowMs: number): void {
    for (const [copyId, {retiredAtMs}] of this.retired) {
      if (retiredAtMs >= nowMs - this.memoryMs) return;
      this.retired.delete(copyId);
    }
  }
}
