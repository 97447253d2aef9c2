import {readConfigEvent} from '@banyanfold/config';
import type {LogRecord} from './types.js';

/**
 * Tracks the age of the oldest record that a new reader needs: it needs the
 * newest checkpoint and all records after the offset up to which the checkpoint
 * was folded. Without the first of those records it cannot build the state.
 */
export class CheckpointAge {
  private baseOffset = 0;
  private readonly appendedAtMs = new Map<number, number>();

  /** To be called for each record of the `config` stream. */
  observe({offset, appendedAtMs, value}: LogRecord): void {
    this.appendedAtMs.set(offset, appendedAtMs);
    const event = readConfigEvent(value, offset);
    if (event.kind !== 'checkpoint') return;
    if (event.state.foldedThrough <= this.baseOffset) return;
    this.baseOffset = event.state.foldedThrough;
    for (const known of this.appendedAtMs.keys()) {
      if (known <= this.baseOffset) this.appendedAtMs.delete(known);
    }
  }

  /**
   * When the oldest record that a new reader needs was appended, by the log's
   * clock; undefined if the log trimmed it before it was read.
   */
  get neededSinceMs(): number | undefined {
    return this.appendedAtMs.get(this.baseOffset + 1);
  }
}
