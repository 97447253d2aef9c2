import {z} from 'zod';
import type {LogRecord} from './types.js';

/**
 * Requests the retirement of one copy of an artifact, relying on other copies.
 */
export const retireRecordSchema = z.object({
  kind: z.literal('retire'),
  copyId: z.string(),
  artifact: z.string(),
  vmId: z.string(),
  reliesOnCopyIds: z.array(z.string()),
  /**
   * Whether the artifact is no longer published, so that no copy has to remain.
   */
  isUnpublished: z.boolean().default(false),
  nonce: z.string(),
  /** When the relied-on copies were last seen as held, by the log's clock. */
  viewedAtMs: z.number(),
});

export type RetireRecord = z.infer<typeof retireRecordSchema>;

export type RetireVerdict =
  | {kind: 'accepted'}
  | {kind: 'void'; why: 'already-retired' | 'relies-on-none' | 'old-view'};

export interface RetirementFoldOptions {
  /** A record whose view is older than this at its append is void. */
  maxViewAgeMs?: number;
  /** How long a retirement is kept in memory. Less than the log's retention. */
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
 * Folds the `retirements` stream. A copy is retired only if, at the offset of
 * its record, at least one of the copies that it relies on is not retired.
 *
 * Concurrent requests cannot retire all copies of an artifact. Suppose that all
 * copies were retired, and consider the last accepted record. It relied on
 * another copy that was not retired before it. Since that copy is also retired,
 * its record is later, which contradicts the assumption. Copies of an artifact
 * that is no longer published rely on none. If the artifact is published again,
 * it is an orphan and is loaded like a new artifact.
 *
 * A retirement is kept for `memoryMs`, so that all readers whose log reaches
 * that far back reach the same verdicts. A process that was paused for longer
 * could rely on a copy whose retirement was dropped. By then its view is too
 * old, and the record is void.
 *
 * @example
 * const evaluated = fold.apply(record);
 * if (evaluated?.verdict.kind === 'accepted') unload(evaluated.record.copyId);
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

  /** Applies the next record and returns the verdict if it is a retirement. */
  apply({
    appendedAtMs,
    value,
  }: LogRecord): {record: RetireRecord; verdict: RetireVerdict} | undefined {
    this.dropExpired(appendedAtMs);
    const parsed = retireRecordSchema.safeParse(value);
    if (!parsed.success) return undefined;
    const record = parsed.data;
    const verdict = this.evaluate(record, appendedAtMs);
    return {record, verdict};
  }

  /** Whether the retirement of a copy was accepted and is still in memory. */
  isRetired(copyId: string): boolean {
    return this.retired.has(copyId);
  }

  private evaluate(record: RetireRecord, appendedAtMs: number): RetireVerdict {
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

  /** The map is in order of retirement, so the oldest entries come first. */
  private dropExpired(nowMs: number): void {
    for (const [copyId, {retiredAtMs}] of this.retired) {
      if (retiredAtMs >= nowMs - this.memoryMs) return;
      this.retired.delete(copyId);
    }
  }
}
