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

/** Whether a published record is in force, or why it is void. */
export type ConfigVerdict =
  | {kind: 'accepted'; version: number}
  | {kind: 'void'; reason: VoidReason; currentVersion: number};

export type VoidReason = 'other-base' | 'invalid-body';

interface BufferedEvent {
  offset: number;
  event: ConfigEvent;
}

/** Verdicts are asked for soon after the append; older ones are dropped. */
const MAX_VERDICTS = 1024;

/**
 * Folds the `config` stream into the configuration in force. It depends on
 * the records alone, so every reader that has folded through an offset has
 * the same version, and of two racing records the second is void everywhere.
 *
 * The log forgets. A reader that misses records can't tell whether a later
 * publish had the right base: judging it anyway would put a version in force
 * here that is void elsewhere. So it keeps what it has, buffers what follows
 * the gap, and goes on from the first checkpoint, or peer's state, that was
 * folded through the gap's end or later. That is enough, because such a state
 * was made by a reader without a gap, and every record after it is buffered.
 *
 * @example
 * const fold = new ConfigFold();
 * fold.apply({offset: 1, value: {kind: 'publish', baseVersion: 0, ...}});
 * fold.state?.version // 1
 */
export class ConfigFold {
  private current: ConfigState | undefined;
  private foldedThroughOffset = 0;
  /** Set while there is a gap: the records after it, without another gap. */
  private buffer: BufferedEvent[] | undefined;
  private bufferFirstOffset = 0;
  private readonly byOffset = new Map<number, ConfigVerdict>();
  private readonly byNonce = new Map<string, ConfigVerdict>();

  /** The configuration in force, or undefined when none is known. */
  get state(): ConfigState | undefined {
    return this.current;
  }

  /** The highest offset whose effect is in `state`. */
  get foldedThrough(): number {
    return this.foldedThroughOffset;
  }

  /** Whether a gap keeps the fold from judging what follows. */
  get needsBase(): boolean {
    return this.buffer !== undefined;
  }

  /**
   * Says that the log keeps nothing before `firstOffset`, which is how a gap
   * shows when no record follows it yet.
   */
  detectGap(firstOffset: number): void {
    if (firstOffset <= this.nextOffset) return;
    this.buffer = [];
    this.bufferFirstOffset = firstOffset;
  }

  /** Takes in the next record; one that was seen already changes nothing. */
  apply(record: ConfigLogRecord): void {
    const {offset} = record;
    if (offset < this.nextOffset) return;
    this.detectGap(offset);
    const event = readConfigEvent(record.value, offset);
    if (!this.buffer) {
      this.fold(offset, event);
      return;
    }
    this.buffer.push({offset, event});
    if (event.kind === 'checkpoint') this.tryBase(event.state);
  }

  /**
   * Takes a peer's state when it is newer than its own. One that doesn't reach
   * the end of a gap is in force too, but the gap stays.
   *
   * @returns whether it was taken.
   */
  restore(snapshot: unknown): boolean {
    const state = readConfigState(snapshot);
    if (!state || state.foldedThrough <= this.foldedThroughOffset) return false;
    if (!this.buffer) return this.replaceState(state);
    return this.tryBase(state) || this.replaceState(state);
  }

  /** The verdict on a publish record, by its offset or its nonce. */
  verdict(offsetOrNonce: number | string): ConfigVerdict | undefined {
    if (typeof offsetOrNonce === 'number') {
      return this.byOffset.get(offsetOrNonce);
    }
    return this.byNonce.get(offsetOrNonce);
  }

  private get nextOffset(): number {
    if (!this.buffer) return this.foldedThroughOffset + 1;
    return this.bufferFirstOffset + this.buffer.length;
  }

  private tryBase(state: ConfigState): boolean {
    const buffer = this.buffer ?? [];
    if (state.foldedThrough + 1 < this.bufferFirstOffset) return false;
    if (!this.replaceState(state)) return false;
    this.buffer = undefined;
    for (const {offset, event} of buffer) {
      if (offset > this.foldedThroughOffset) this.fold(offset, event);
    }
    return true;
  }

  /** A version never goes back, whatever a peer or a record says. */
  private replaceState(state: ConfigState): boolean {
    if (state.version < (this.current?.version ?? 0)) return false;
    this.current = state;
    this.foldedThroughOffset = state.foldedThrough;
    return true;
  }

  private fold(offset: number, event: ConfigEvent): void {
    if (event.kind === 'publish') this.judge(offset, event);
    this.foldedThroughOffset = offset;
    if (this.current) {
      this.current = {...this.current, foldedThrough: offset};
    }
  }

  private judge(
    offset: number,
    event: Extract<ConfigEvent, {kind: 'publish'}>,
  ): void {
    const currentVersion = this.current?.version ?? 0;
    const {baseVersion, body, nonce} = event;
    if (baseVersion !== currentVersion) {
      const why = 'other-base';
      this.remember(offset, nonce, {kind: 'void', reason: why, currentVersion});
      return;
    }
    if (!body) {
      const why = 'invalid-body';
      this.remember(offset, nonce, {kind: 'void', reason: why, currentVersion});
      return;
    }
    this.current = {version: offset, foldedThrough: offset, body};
    this.remember(offset, nonce, {kind: 'accepted', version: offset});
  }

  private remember(
    offset: number,
    nonce: string,
    verdict: ConfigVerdict,
  ): void {
    this.byOffset.set(offset, verdict);
    // A record sent twice is accepted once; the second must not hide that.
    if (this.byNonce.get(nonce)?.kind !== 'accepted') {
      this.byNonce.set(nonce, verdict);
    }
    dropOldest(this.byOffset);
    dropOldest(this.byNonce);
  }
}

function dropOldest<K>(verdicts: Map<K, ConfigVerdict>): void {
  if (verdicts.size <= MAX_VERDICTS) return;
  const oldest = verdicts.keys().next();
  if (!oldest.done) verdicts.delete(oldest.value);
}
