import type {ReplicaCandidate} from '@banyanfold/decisions';
import {beforeEach, describe, expect, it} from 'vitest';
import {ReplicaRoster} from '../placement/replicaRoster.js';
import {ReplicaList} from '../streams/replicaList.js';

const INTERVAL_MS = 250;

let list: ReplicaList;
let members: ReplicaCandidate[];
let roster: ReplicaRoster;

beforeEach(() => {
  list = new ReplicaList();
  members = ['a', 'b'].map(candidateOf);
  roster = new ReplicaRoster({
    epoch: 'a:7#1',
    intervalMs: INTERVAL_MS,
    list,
    members: () => members,
  });
});

function candidateOf(name: string): ReplicaCandidate {
  return {address: `${name}:7`, failureDomain: name, processorShare: 0.5};
}

function addresses(): string[] {
  return (list.replicas ?? []).map(({address}) => address);
}

describe('the replicas that a holder names', () => {
  it('are told once, and again when they change', () => {
    const first = roster.updateFor(undefined, 1, 0)!;
    expect(first.replicas).toHaveLength(2);
    expect(roster.updateFor(first.version, 1, 10)?.replicas).toBeUndefined();
    members.push(candidateOf('c'));
    const next = roster.updateFor(first.version, 1, INTERVAL_MS)!;
    expect(next.replicas).toHaveLength(3);
  });

  // Guards against a list of the few entries that have reported to a new holder:
  // it would leave out the replicas that have the records.
  it('stay those of the former holder until all have reported', () => {
    const replicas = ['a', 'b', 'c', 'd'].map(candidateOf);
    list.apply({version: 'd:7#1/4', replicas});
    roster.updateFor(undefined, 7, 0);
    roster.updateFor(undefined, 7, 1_000);
    expect(addresses()).toEqual(['a:7', 'b:7', 'c:7', 'd:7']);
    roster.updateFor(undefined, 7, 1_500);
    expect(addresses()).toEqual(['a:7', 'b:7']);
  });
});
