import {MemoryLogger, Metrics, VirtualClock} from '@banyanfold/core';
import type {Replica} from '@banyanfold/decisions';
import {beforeEach, describe, expect, it} from 'vitest';
import {OriginReplicator} from '../streams/originReplicator.js';

const INTERVAL_MS = 20;

let clock: VirtualClock;
let replicas: Replica[] | undefined;
let silent: Set<string>;
/** Ids of the records that each replica has taken, by batch. */
let taken: Map<string, string[][]>;
/** Ids of the records that each replica has been asked to append. */
let toAppend: Map<string, string[]>;
let appended: string[];
let replicator: OriginReplicator;

beforeEach(() => {
  clock = new VirtualClock();
  replicas = ['b', 'c', 'd'].map(name => ({
    address: `${name}:7`,
    failureDomain: name,
  }));
  silent = new Set();
  taken = new Map();
  toAppend = new Map();
  appended = [];
  replicator = createReplicator('a');
});

function createReplicator(self: string): OriginReplicator {
  return new OriginReplicator({
    clock,
    logger: new MemoryLogger(),
    metrics: new Metrics(),
    self: {address: `${self}:7`, failureDomain: self},
    replicas: () => replicas,
    batchIntervalMs: () => INTERVAL_MS,
    append: ({requestId}) => appended.push(requestId),
    send: async (address, origins) => {
      if (silent.has(address)) throw new Error('no answer');
      const batches = taken.get(address) ?? [];
      const ids = origins.map(({requestId}) => requestId);
      batches.push(ids);
      taken.set(address, batches);
      const flagged = origins.filter(({shouldAppend}) => shouldAppend);
      if (flagged.length === 0) return;
      const flaggedIds = flagged.map(({requestId}) => requestId);
      toAppend.set(address, [...(toAppend.get(address) ?? []), ...flaggedIds]);
    },
  });
}

function add(...requestIds: string[]): void {
  for (const requestId of requestIds) {
    replicator.add({requestId, service: 'drafting', version: 'v1'});
  }
}

describe('origin records', () => {
  it('are sent to two replicas, in batches', async () => {
    add('s1');
    await clock.advance(1);
    add('s2', 's3');
    await clock.advance(INTERVAL_MS);
    const batches = [['s1'], ['s2', 's3']];
    expect([...taken.values()]).toEqual([batches, batches]);
  });

  // Guards against records that only this process has once a replica is lost.
  it('go to another replica if one does not answer', async () => {
    add('s1');
    await clock.advance(1);
    const [lost] = taken.keys();
    silent.add(lost!);
    add('s2');
    await clock.advance(2 * INTERVAL_MS);
    const [other] = [...taken.keys()]
      .filter(address => address !== lost)
      .slice(1);
    expect(taken.get(other!)?.flat()).toContain('s2');
  });

  // Guards against a store that gets a record from each entry that has it.
  it('are appended to the store by one replica', async () => {
    add('s1', 's2');
    await clock.advance(INTERVAL_MS);
    expect([...toAppend.values()]).toEqual([['s1', 's2']]);
    expect(appended).toEqual([]);
  });

  // Guards against a record that only processes have, as its writer is lost.
  it('are appended by another replica if the first does not answer', async () => {
    add('s1');
    await clock.advance(1);
    const [first] = toAppend.keys();
    silent.add(first!);
    add('s2');
    await clock.advance(2 * INTERVAL_MS);
    toAppend.delete(first!);
    expect([...toAppend.values()].flat()).toContain('s2');
  });

  // Guards against a record that no entry appends, as the list of replicas has
  // changed since the record was made.
  it('are appended once if the replicas change before they are sent', async () => {
    add('s1');
    await clock.advance(1);
    add('s2');
    replicas = [...replicas!, {address: 'a:7', failureDomain: 'a'}];
    await clock.advance(INTERVAL_MS);
    expect([...toAppend.values()].flat()).toEqual(['s1', 's2']);
    expect(appended).toEqual([]);
  });

  it('are appended by an entry that is a replica itself', async () => {
    replicator = createReplicator('b');
    add('s1');
    await clock.advance(INTERVAL_MS);
    expect(appended).toEqual(['s1']);
    expect(toAppend.size).toBe(0);
  });

  // Guards against a record that is never sent: the holder names the replicas
  // some hundred ms after a process has begun to serve.
  it('wait for the first replicas that are named', async () => {
    replicas = undefined;
    add('s1');
    await clock.advance(INTERVAL_MS);
    expect(taken.size).toBe(0);
    replicas = [{address: 'b:7', failureDomain: 'b'}];
    replicator.resume();
    await clock.advance(INTERVAL_MS);
    expect(taken.get('b:7')).toEqual([['s1']]);
  });
});
