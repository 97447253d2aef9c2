import {describe, expect, it} from 'vitest';
import {chooseRelays, relayOf, type RelayCandidate} from '../chooseRelays.js';

const SMALL = 0.25;
const LARGE = 1.3;
const DOMAINS = ['a', 'b', 'c', 'd', 'e', 'f'];
const NONE = new Map<string, readonly string[]>();

/** One large entry and the rest small ones in each failure domain. */
function entriesOf(count: number): RelayCandidate[] {
  return Array.from({length: count}, (_, i) => ({
    address: `e${i}:7`,
    failureDomain: DOMAINS[i % DOMAINS.length]!,
    processorShare: i < DOMAINS.length ? LARGE : SMALL,
  }));
}

describe('chooseRelays', () => {
  it('has a few entries ask the holder itself', () => {
    expect(chooseRelays(entriesOf(8), 'e0:7', NONE).size).toBe(0);
  });

  it('takes the largest entry of each domain, never the holder', () => {
    const relays = chooseRelays(entriesOf(68), 'e0:7', NONE);
    expect([...relays.keys()].sort()).toEqual(DOMAINS);
    expect(relays.get('b')).toEqual(['e1:7']);
    expect([...relays.values()].flat()).not.toContain('e0:7');
  });

  it('keeps a relay among equals, whatever the order of hearing', () => {
    const equal = entriesOf(30).map(e => ({...e, processorShare: SMALL}));
    const first = chooseRelays(equal, 'e0:7', NONE);
    const other = equal.find(
      ({address, failureDomain}) =>
        failureDomain === 'b' && address !== first.get('b')![0],
    )!;
    const before = new Map([['b', [other.address]]]);
    const next = chooseRelays([...equal].reverse(), 'e0:7', before);
    expect(next.get('b')).toEqual([other.address]);
    expect(next.get('c')).toEqual(first.get('c'));
  });

  it('replaces a relay that is no longer heard of', () => {
    const all = entriesOf(30);
    const [relay] = chooseRelays(all, 'e0:7', NONE).get('b')!;
    const left = all.filter(({address}) => address !== relay);
    const next = chooseRelays(left, 'e0:7', new Map([['b', [relay!]]]));
    expect(next.get('b')).not.toContain(relay);
  });

  it('lets nobody hear from more than 130 entries of 730', () => {
    // Load: 730 entries tell the holder four times a second what they have open.
    // Direct, it would take in 2,900 exchanges a second, at 0.4 ms each.
    const all = entriesOf(730);
    const relays = chooseRelays(all, 'e0:7', NONE);
    const heardBy = new Map<string, number>();
    for (const {address, failureDomain} of all) {
      const to = relayOf(address, relays.get(failureDomain) ?? []) ?? 'holder';
      heardBy.set(to, (heardBy.get(to) ?? 0) + 1);
    }
    expect(Math.max(...heardBy.values())).toBeLessThanOrEqual(130);
  });
});

describe('relayOf', () => {
  it('names the same relay each time, and none for a relay', () => {
    const relays = ['e1:7', 'e7:7'];
    expect(relayOf('e13:7', relays)).toBe(relayOf('e13:7', relays));
    expect(relayOf('e13:7', [...relays].reverse())).toBe(
      relayOf('e13:7', relays),
    );
    expect(relayOf('e7:7', relays)).toBeUndefined();
    expect(relayOf('e13:7', [])).toBeUndefined();
  });
});
