import type {KeeperCandidate} from '@banyanfold/decisions';
import {beforeEach, describe, expect, it} from 'vitest';
import {KeeperRoster} from '../placement/keeperRoster.js';
import {KeeperList} from '../streams/keeperList.js';

const INTERVAL_MS = 250;

let list: KeeperList;
let members: KeeperCandidate[];
let roster: KeeperRoster;

beforeEach(() => {
  list = new KeeperList();
  members = ['a', 'b'].map(candidateOf);
  roster = new KeeperRoster({
    epoch: 'a:7#1',
    intervalMs: INTERVAL_MS,
    list,
    members: () => members,
  });
});

function candidateOf(name: string): KeeperCandidate {
  return {address: `${name}:7`, failureDomain: name, processorShare: 0.5};
}

function addresses(): string[] {
  return (list.keepers ?? []).map(({address}) => address);
}

describe('the keepers that a holder names', () => {
  it('are told once, and again when they change', () => {
    const first = roster.updateFor(undefined, 1, 0)!;
    expect(first.keepers).toHaveLength(2);
    expect(roster.updateFor(first.version, 1, 10)?.keepers).toBeUndefined();
    members.push(candidateOf('c'));
    const next = roster.updateFor(first.version, 1, INTERVAL_MS)!;
    expect(next.keepers).toHaveLength(3);
  });

  // Guards against a list of the few entries that have reported to a new holder:
  // it would leave out the keepers that have the records.
  it('stay those of the former holder until all have reported', () => {
    const keepers = ['a', 'b', 'c', 'd'].map(candidateOf);
    list.apply({version: 'd:7#1/4', keepers});
    roster.updateFor(undefined, 7, 0);
    roster.updateFor(undefined, 7, 1_000);
    expect(addresses()).toEqual(['a:7', 'b:7', 'c:7', 'd:7']);
    roster.updateFor(undefined, 7, 1_500);
    expect(addresses()).toEqual(['a:7', 'b:7']);
  });
});
