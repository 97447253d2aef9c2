import {describe, expect, it} from 'vitest';
import {chooseRelays, relayOf, type RelayCandidate} from '../chooseRelays.js';

const SMALL = 0.25;
const LARGE = 1.3;
const DOMAINS = ['a', 'b', 'c', 'd', 'e', 'f'];
const NONE = new Map<string, readonly string[]>();

/** One large entry and otherwise small ones in each failure domain. */
function entriesOf(count: number): RelayCandidate[] {
  return Array.from({length: count}, (_, i) => ({
    address: `e${i}:7`,
    failureDomain: DOMAINS[i % DOMAINS.length]!,
    processorShare: i < DOMAINS.length ? LARGE : SMALL,
  }));
}

describe('chooseRelays', () => {
  it('uses no relays for a few entries', () => {
    expect(chooseRelays(entriesOf(8), 'e0:7', NONE).size).toBe(0);
  });

  it('chooses the largest entry of each domain, never the holder', () => {
    const relays = chooseRelays(entriesOf(68), 'e0:7', NONE);
    expect([...relays.keys()].sort()).toEqual(DOMAINS);
    expect(relays.get('b')).toEqual(['e1:7']);
    expect([...relays.values()].flat()).not.toContain('e0:7');
  });

  it('keeps a relay among equals, in any order of the entries', () => {
    const equal = entriesOf(30).map(e => ({...e, processorShare: SMALL}));
    const first = chooseRelays(equal, 'e0:7', NONE);
    const other = equal.find(
      ({address, failureDomain}) =>
        failureDomain === 'b' && address !== first.get('b')![0],
    )!;
    const before = new Map([['b', [other.address]]]);
    const updated = chooseRelays([...equal].reverse(), 'e0:7', before);
    expect(updated.get('b')).toEqual([other.address]);
    expect(updated.get('c')).toEqual(first.get('c'));
  });

  it('replaces a relay that is gone', () => {
    const all = entriesOf(30);
    const [relay] = chooseRelays(all, 'e0:7', NONE).get('b')!;
    const remaining = all.filter(({address}) => address !== relay);
    const updated = chooseRelays(remaining, 'e0:7', new Map([['b', [relay!]]]));
    expect(updated.get('b')).not.toContain(relay);
  });

  it('connects at most 130 of 730 entries to one process', () => {
    // 730 entries exchange state with the holder four times per second. Without
    // relays it would handle 2,900 exchanges per second, at 0.4 ms each.
    const all = entriesOf(730);
    const relays = chooseRelays(all, 'e0:7', NONE);
    const connections = new Map<string, number>();
    for (const {address, failureDomain} of all) {
      const relay =
        relayOf(address, relays.get(failureDomain) ?? []) ?? 'holder';
      connections.set(relay, (connections.get(relay) ?? 0) + 1);
    }
    expect(Math.max(...connections.values())).toBeLessThanOrEqual(130);
  });
});

describe('relayOf', () => {
  it('returns the same relay each time, and none for a relay', () => {
    const relays = ['e1:7', 'e7:7'];
    expect(relayOf('e13:7', relays)).toBe(relayOf('e13:7', relays));
    expect(relayOf('e13:7', [...relays].reverse())).toBe(
      relayOf('e13:7', relays),
    );
    expect(relayOf('e7:7', relays)).toBeUndefined();
    expect(relayOf('e13:7', [])).toBeUndefined();
  });
});
