/** One line of `/cache-events`. */
export interface CacheEvent {
  seq: number;
  atMs: number;
  kind: 'stored' | 'evicted';
  prefixHash: string;
  artifact: string;
}

const MAX_KEPT_EVENTS = 10_000;

/** Cache events as they are published: late and with gaps. */
export class CacheEventFeed {
  private readonly events: CacheEvent[] = [];
  private lastSeq = 0;

  /** A lost event takes its number with it, which leaves a gap. */
  add(event: Omit<CacheEvent, 'seq'>, isLost: boolean): void {
    this.lastSeq += 1;
    if (isLost) return;
    this.events.push({seq: this.lastSeq, ...event});
    if (this.events.length > MAX_KEPT_EVENTS) this.events.shift();
  }

  /** Events from number `fromSeq` on that are no newer than `untilMs`. */
  read(
    fromSeq: number,
    untilMs: number,
  ): {nextSeq: number; events: CacheEvent[]} {
    const events = this.events.filter(
      ({seq, atMs}) => seq >= fromSeq && atMs <= untilMs,
    );
    const lastSeq = events.at(-1)?.seq ?? Math.max(0, fromSeq - 1);
    return {nextSeq: lastSeq + 1, events};
  }
}
