import {MemoryLogger, VirtualClock} from '@banyanfold/core';
import type {Replica} from '@banyanfold/decisions';
import {beforeEach, describe, expect, it} from 'vitest';
import type {FindOriginsInput} from '../peers/peerContract.js';
import {OriginLookup, type LookupResult} from '../streams/originLookup.js';

const MAX_WAIT_MS = 600;
const CALL_TIMEOUT_MS = 300;

let clock: VirtualClock;
let replicas: Replica[] | undefined;
let entryCount: number;
/** Versions that each replica knows; a replica without an entry is frozen. */
let known: Map<string, Map<string, string>>;
let asked: string[][];
/** How long each replica has followed the runners. */
let followedMs: Map<string, number>;
let lookup: OriginLookup;

beforeEach(() => {
  clock = new VirtualClock();
  replicas = ['a', 'b', 'c'].map(name => ({
    address: `${name}:7`,
    failureDomain: name,
  }));
  entryCount = 3;
  known = new Map([
    ['b:7', new Map()],
    ['c:7', new Map()],
  ]);
  asked = [];
  followedMs = new Map([
    ['b:7', 700],
    ['c:7', 900],
  ]);
  lookup = new OriginLookup({
    logger: new MemoryLogger(),
    clock,
    address: 'a:7',
    replicas: () => replicas,
    entryCount: () => entryCount,
    ask: (address, input) => answer(address, input),
  });
});

async function answer(address: string, {requestIds}: FindOriginsInput) {
  asked.push(requestIds);
  const versions = known.get(address);
  if (!versions) {
    await new Promise<void>(resolve => {
      clock.setTimer(CALL_TIMEOUT_MS, resolve);
    });
    return undefined;
  }
  return {
    origins: [...versions],
    mixedServices: ['drafting'],
    soleVersions: [['plain', `of ${address}`] as [string, string]],
    isHistoryComplete: true,
    followedMs: followedMs.get(address),
  };
}

/** Returns the result, if there is one within a time. */
async function find(withinMs: number): Promise<LookupResult | undefined> {
  let result: LookupResult | undefined;
  void lookup.find('s1', MAX_WAIT_MS).then(found => (result = found));
  await clock.advance(withinMs);
  return result;
}

describe('a stream that is looked up', () => {
  it('is found at one peer while another one is frozen', async () => {
    known.delete('b:7');
    known.get('c:7')!.set('s1', 'v1');
    expect((await find(10))?.version).toBe('v1');
  });

  // Guards against a caller that is told to come back although nobody knows.
  it('is known to nobody once all peers have answered', async () => {
    const result = await find(10);
    expect(result).toMatchObject({version: undefined, isExhaustive: true});
  });

  it('may be known to a peer that does not answer', async () => {
    known.delete('b:7');
    const result = await find(MAX_WAIT_MS);
    expect(result).toMatchObject({version: undefined, isExhaustive: false});
  });

  // Guards against a refusal while the record is on its way to a replica.
  it('is sought again where its entry may not be among the replicas', async () => {
    entryCount = 30;
    expect(await find(100)).toBeUndefined();
    known.get('b:7')!.set('s1', 'v1');
    await clock.advance(CALL_TIMEOUT_MS);
    expect(asked).toHaveLength(4);
    expect((await find(10))?.version).toBe('v1');
  });

  it('is answered with what all peers know of versions', async () => {
    expect(await find(10)).toMatchObject({
      soleVersions: [
        ['plain', 'of b:7'],
        ['plain', 'of c:7'],
      ],
      followedMs: 700,
    });
  });

  // Guards against going by peers of which one remembers nothing or is silent.
  it('is not known of all peers if one follows nothing or is silent', async () => {
    followedMs.delete('c:7');
    expect((await find(10))?.followedMs).toBe(0);
    known.delete('b:7');
    expect((await find(MAX_WAIT_MS))?.followedMs).toBeUndefined();
  });

  // Guards against going by the other peers once the holder, which may be cut
  // off itself, no longer names one that still serves.
  it('is not known of all peers for a minute after one was named', async () => {
    lookup.refresh();
    replicas = replicas!.slice(0, 2);
    entryCount = 2;
    expect(await find(10)).toMatchObject({
      isExhaustive: true,
      followedMs: undefined,
    });
    await clock.advance(60_000);
    expect((await find(10))?.followedMs).toBe(700);
  });

  it('ends once enough is known', async () => {
    known.delete('b:7');
    let result: LookupResult | undefined;
    const enough = Promise.resolve();
    const searching = lookup.find('s1', MAX_WAIT_MS, enough);
    void searching.then(found => (result = found));
    await clock.advance(0);
    expect(result).toMatchObject({answers: 0, followedMs: undefined});
  });

  it('is sought in one call with others', async () => {
    void lookup.find('s2', MAX_WAIT_MS);
    await find(10);
    expect(asked).toEqual([
      ['s2', 's1'],
      ['s2', 's1'],
    ]);
  });

  it('is answered at once where no replicas are known', async () => {
    replicas = undefined;
    expect(await find(MAX_WAIT_MS)).toMatchObject({
      answers: 0,
      isExhaustive: false,
      followedMs: undefined,
    });
  });
});
