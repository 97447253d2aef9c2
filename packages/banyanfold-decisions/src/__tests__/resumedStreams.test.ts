import {describe, expect, it} from 'vitest';
import {
  chooseReplicas,
  rankReplicas,
  type ReplicaCandidate,
} from '../streams/chooseReplicas.js';
import {decideContinuation} from '../streams/decideContinuation.js';
import {
  findOnlyVersion,
  type VersionEvidence,
} from '../streams/findOnlyVersion.js';

describe('decideContinuation', () => {
  it.each([
    ['its version serves', 'v1', false, undefined],
    ['its version is gone', 'v0', true, undefined],
    ['its version is gone and one serves', 'v0', true, 'v1'],
    ['its beginning is unknown', undefined, false, undefined],
    ['one version has ever served', undefined, false, 'v1'],
    ['no runner states a version', undefined, false, ''],
  ])('if %s', (_name, originVersion, isOriginGone, onlyVersion) => {
    expect(
      decideContinuation({originVersion, isOriginGone, onlyVersion}),
    ).toMatchSnapshot();
  });
});

const UNREAD: VersionEvidence = {
  versions: ['v1'],
  peerVersions: ['v1'],
  havePeersSeenSeveral: false,
  isConfirmed: false,
  isHistoryComplete: true,
  hasPeerCompleteHistory: true,
  isStartKnown: true,
  gapAgeMs: undefined,
  readAgeMs: 100,
  peersFollowedMs: undefined,
};
const GAP = {isHistoryComplete: false, gapAgeMs: 5_000};

describe('findOnlyVersion', () => {
  // Guards against a guess by an entry that has missed a version.
  it.each<[string, Partial<VersionEvidence>, string | undefined]>([
    ['neither the store nor all peers answer', {}, undefined],
    ['the store answers', {isConfirmed: true}, 'v1'],
    ['all peers answer', {peersFollowedMs: 100}, 'v1'],
    ['a peer started after the last read', {peersFollowedMs: 99}, undefined],
    [
      'it is not known how old the last read is',
      {peersFollowedMs: 1e9, readAgeMs: Infinity},
      undefined,
    ],
    [
      'a peer knows another version',
      {isConfirmed: true, peerVersions: ['v1', 'v2']},
      undefined,
    ],
    [
      'a peer has seen several',
      {isConfirmed: true, havePeersSeenSeveral: true},
      undefined,
    ],
    ['no version is known', {isConfirmed: true, versions: []}, undefined],
    [
      'it has a gap and no peer has a complete history',
      {...GAP, isConfirmed: true, hasPeerCompleteHistory: false},
      undefined,
    ],
    [
      'it has a gap and a peer has a complete history',
      {...GAP, isConfirmed: true},
      'v1',
    ],
    ['all peers cover its gap', {...GAP, peersFollowedMs: 5_000}, 'v1'],
    ['a peer started in its gap', {...GAP, peersFollowedMs: 4_999}, undefined],
    [
      'it does not know what served before its start',
      {
        isConfirmed: true,
        isHistoryComplete: false,
        hasPeerCompleteHistory: false,
        isStartKnown: false,
        peersFollowedMs: 1e9,
      },
      undefined,
    ],
  ])('if %s', (_name, known, expected) => {
    expect(findOnlyVersion({...UNREAD, ...known})).toBe(expected);
  });
});

function createEntries(count: number, domains: number): ReplicaCandidate[] {
  return Array.from({length: count}, (_, i) => ({
    address: `10.0.${i % domains}.${i}:7`,
    failureDomain: `domain-${i % domains}`,
    processorShare: i % 5 === 0 ? 1 : 0.5,
  }));
}

describe('chooseReplicas', () => {
  it.each([1, 5, 16, 17, 67, 730])('of %i entries', count => {
    const entries = createEntries(count, 6);
    const replicas = chooseReplicas(entries, new Set());
    const domains = new Set(replicas.map(({failureDomain}) => failureDomain));
    expect([replicas.length, domains.size]).toMatchSnapshot();
  });

  // Guards against a move of records each time an entry starts or ends.
  it('stay when others come and go', () => {
    const entries = createEntries(67, 6);
    const current = chooseReplicas(entries, new Set());
    const addresses = new Set(current.map(({address}) => address));
    const ordinary = entries.filter(({address}) => !addresses.has(address));
    const without = new Set(ordinary.slice(0, 6).map(e => e.address));
    const left = entries.filter(({address}) => !without.has(address));
    const next = chooseReplicas(left, addresses);
    expect(next.every(({address}) => addresses.has(address))).toBe(true);
  });
});

describe('rankReplicas', () => {
  const entries = createEntries(67, 6);
  const replicas = chooseReplicas(entries, new Set());

  // Guards against the loss of all copies with one failure domain.
  it.each([0, 5, 13])('are in other failure domains, for entry %i', index => {
    const entry = entries[index]!;
    const ranked = rankReplicas(entry, replicas);
    const nearest = ranked
      .slice(0, 2)
      .map(replica => replicas.find(({address}) => address === replica)!);
    const domains = [entry, ...nearest].map(each => each.failureDomain);
    expect(new Set(domains).size).toBe(3);
    expect(ranked).not.toContain(entry.address);
  });

  it('keep their order when a replica is lost', () => {
    const entry = entries[0]!;
    const [lost, ...others] = rankReplicas(entry, replicas);
    const left = replicas.filter(({address}) => address !== lost);
    expect(rankReplicas(entry, left)[0]).toBe(others[0]);
  });
});
