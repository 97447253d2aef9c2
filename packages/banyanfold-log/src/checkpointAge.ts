import {readConfigEvent} from '@banyanfold/config';
import type {LogRecord} from './types.js';

/**
 * Since when the log holds all that a newcomer needs: the newest checkpoint
 * and each record after the offset that it was folded through. When the log
 * forgets the first of those, a newcomer has nothing to begin with.
 */
export class CheckpointAge {
  private baseOffset = 0;
  private readonly appendedAtMs = new Map<number, number>();

  /** Takes in each record of the stream. */
  note({offset, appendedAtMs, value}: LogRecord): void {
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
   * When the oldest record that a newcomer needs was appended, by the log's
   * clock; undefined when the log no longer has it.
   */
  get neededSinceMs(): number | undefined {
    return this.appendedAtMs.get(this.baseOffset + 1);
  }
}
