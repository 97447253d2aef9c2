import {describe, expect, it} from 'vitest';
import {PrefixTracker} from '../control/prefixTracker.js';

function cacheEvent(seq: number, kind: 'stored' | 'evicted', hash: string) {
  return {seq, kind, atMs: 0, prefixHash: hash, artifact: 'a@1'};
}

describe('PrefixTracker', () => {
  it('keeps the most recent prefixes up to its limit', () => {
    const tracker = new PrefixTracker(2);
    for (const hash of ['a', 'b', 'a', 'c']) tracker.noteCached(hash);
    expect(tracker.newestFirst()).toEqual(['c', 'a']);
  });

  it('applies each event once', () => {
    const tracker = new PrefixTracker(9);
    const events = [
      cacheEvent(1, 'stored', 'a'),
      cacheEvent(2, 'stored', 'b'),
      cacheEvent(3, 'evicted', 'a'),
    ];
    expect(tracker.apply({nextSeq: 4, events})).toBe(false);
    expect(tracker.apply({nextSeq: 4, events})).toBe(false);
    expect(tracker.newestFirst()).toEqual(['b']);
    expect(tracker.fromSeq).toBe(4);
  });

  // Event 2 with the eviction of `a` was lost. If `a` still counted as cached,
  // requests would be routed here only to find it missing.
  it('drops the prefixes that may have been evicted in a gap', () => {
    const tracker = new PrefixTracker(9);
    tracker.apply({nextSeq: 2, events: [cacheEvent(1, 'stored', 'a')]});
    const late = {nextSeq: 4, events: [cacheEvent(3, 'stored', 'c')]};
    expect(tracker.apply(late)).toBe(true);
    expect(tracker.newestFirst()).toEqual(['c']);
  });
});
