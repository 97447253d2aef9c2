import {
  readConfigEvent,
  readConfigState,
  type ConfigEvent,
  type ConfigState,
} from './configRecords.js';

/** A record of the `config` stream. */
export interface ConfigLogRecord {
  offset: number;
  value: unknown;
}

/** Whether a publish record was accepted, or the reason why it is void. */
export type ConfigVerdict =
  | {kind: 'accepted'; version: number}
  | {kind: 'void'; reason: VoidReason; currentVersion: number};

export type VoidReason = 'other-base' | 'invalid-body';

interface BufferedEvent {
  offset: number;
  event: ConfigEvent;
}

/** Publishers read a verdict soon after the append, so old ones are evicted. */
const MAX_VERDICTS = 1024;

/**
 * Folds the `config` stream into the configuration in force. The result
 * depends only on the records, so all readers that have folded through the same
 * offset have the same version, and the second of two concurrent publishes is
 * void for every reader.
 *
 * The log deletes records after its retention time. A reader that misses records
 * can't determine whether a later publish had the right base; applying it anyway
 * could put a version in force here that is void elsewhere. The reader therefore
 * keeps its state, buffers the records after the gap, and resumes from the first
 * checkpoint or peer state that was folded through the end of the gap or later.
 * Such a state comes from a reader without a gap, and every record after it is in
 * the buffer.
 *
 * @example
 * const fold = new ConfigFold();
 * fold.apply({offset: 1, value: {kind: 'publish', baseVersion: 0, ...}});
 * fold.state?.version // 1
 */
export class ConfigFold {
  private currentState: ConfigState | undefined;
  private foldedThroughOffset = 0;
  /** The contiguous records after a gap; undefined while there is no gap. */
  private bufferedEvents: BufferedEvent[] | undefined;
  private bufferStartOffset = 0;
  private readonly verdictsByOffset = new Map<number, ConfigVerdict>();
  private readonly verdictsByNonce = new Map<string, ConfigVerdict>();

  /** The configuration in force, or undefined when none is known. */
  get state(): ConfigState | undefined {
    return this.currentState;
  }

  /** The highest offset whose effect is in `state`. */
  get foldedThrough(): number {
    return this.foldedThroughOffset;
  }

  /** Whether a gap prevents the evaluation of further records. */
  get needsBase(): boolean {
    return this.bufferedEvents !== undefined;
  }

  /**
   * Starts a gap if the log no longer holds the next record. `firstOffset` is the
   * first offset that it still holds; this finds a gap with no record after it.
   */
  detectGap(firstOffset: number): void {
    if (firstOffset <= this.nextOffset) return;
    this.bufferedEvents = [];
    this.bufferStartOffset = firstOffset;
  }

  /** Applies the next record; a record that was already applied is ignored. */
  apply(record: ConfigLogRecord): void {
    const {offset} = record;
    if (offset < this.nextOffset) return;
    this.detectGap(offset);
    const event = readConfigEvent(record.value, offset);
    if (!this.bufferedEvents) {
      this.applyEvent(offset, event);
      return;
    }
    this.bufferedEvents.push({offset, event});
    if (event.kind === 'checkpoint') this.tryResumeFrom(event.state);
  }

  /**
   * Adopts a peer's state if it is newer than the current one. A state that
   * doesn't cover the end of a gap is adopted too, but the gap remains.
   *
   * @returns whether the state was adopted.
   */
  restore(snapshot: unknown): boolean {
    const state = readConfigState(snapshot);
    if (!state || state.foldedThrough <= this.foldedThroughOffset) return false;
    if (!this.bufferedEvents) return this.replaceState(state);
    return this.tryResumeFrom(state) || this.replaceState(state);
  }

  /** Returns the verdict on a publish record, by its offset or its nonce. */
  verdict(offsetOrNonce: number | string): ConfigVerdict | undefined {
    if (typeof offsetOrNonce === 'number') {
      return this.verdictsByOffset.get(offsetOrNonce);
    }
    return this.verdictsByNonce.get(offsetOrNonce);
  }

  private get nextOffset(): number {
    if (!this.bufferedEvents) return this.foldedThroughOffset + 1;
    return this.bufferStartOffset + this.bufferedEvents.length;
  }

  private tryResumeFrom(state: ConfigState): boolean {
    const buffer = this.bufferedEvents ?? [];
    if (state.foldedThrough + 1 < this.bufferStartOffset) return false;
    if (!this.replaceState(state)) return false;
    this.bufferedEvents = undefined;
    for (const {offset, event} of buffer) {
      if (offset > this.foldedThroughOffset) this.applyEvent(offset, event);
    }
    return true;
  }

  /** Never replaces the version by an older one, from a peer or a checkpoint. */
  private replaceState(state: ConfigState): boolean {
    if (state.version < (this.currentState?.version ?? 0)) return false;
    this.currentState = state;
    this.foldedThroughOffset = state.foldedThrough;
    return true;
  }

  private applyEvent(offset: number, event: ConfigEvent): void {
    if (event.kind === 'publish') this.evaluatePublish(offset, event);
    this.foldedThroughOffset = offset;
    if (this.currentState) {
      this.currentState = {...this.currentState, foldedThrough: offset};
    }
  }

  private evaluatePublish(
    offset: number,
    event: Extract<ConfigEvent, {kind: 'publish'}>,
  ): void {
    const currentVersion = this.currentState?.version ?? 0;
    const {baseVersion, body, nonce} = event;
    if (baseVersion !== currentVersion) {
      const reason = 'other-base';
      this.recordVerdict(offset, nonce, {
        kind: 'void',
        reason,
        currentVersion,
      });
      return;
    }
    if (!body) {
      const reason = 'invalid-body';
      this.recordVerdict(offset, nonce, {
        kind: 'void',
        reason,
        currentVersion,
      });
      return;
    }
    this.currentState = {version: offset, foldedThrough: offset, body};
    this.recordVerdict(offset, nonce, {kind: 'accepted', version: offset});
  }

  private recordVerdict(
    offset: number,
    nonce: string,
    verdict: ConfigVerdict,
  ): void {
    this.verdictsByOffset.set(offset, verdict);
    // A duplicate of an accepted record is void, but must not replace its verdict.
    if (this.verdictsByNonce.get(nonce)?.kind !== 'accepted') {
      this.verdictsByNonce.set(nonce, verdict);
    }
    evictOldest(this.verdictsByOffset);
    evictOldest(this.verdictsByNonce);
  }
}

function evictOldest<K>(verdicts: Map<K, ConfigVerdict>): void {
  if (verdicts.size <= MAX_VERDICTS) return;
  const oldest = verdicts.keys().next();
  if (!oldest.done) verdicts.delete(oldest.value);
}
