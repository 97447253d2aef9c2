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
let replicator: OriginReplicator;

beforeEach(() => {
  clock = new VirtualClock();
  replicas = ['b', 'c', 'd'].map(name => ({
    address: `${name}:7`,
    failureDomain: name,
  }));
  silent = new Set();
  taken = new Map();
  replicator = new OriginReplicator({
    clock,
    logger: new MemoryLogger(),
    metrics: new Metrics(),
    self: {address: 'a:7', failureDomain: 'a'},
    replicas: () => replicas,
    batchIntervalMs: () => INTERVAL_MS,
    send: async (address, origins) => {
      if (silent.has(address)) throw new Error('no answer');
      const batches = taken.get(address) ?? [];
      batches.push(origins.map(({requestId}) => requestId));
      taken.set(address, batches);
    },
  });
});

function add(...requestIds: string[]): void {
  for (const requestId of requestIds) {
    replicator.add({requestId, version: 'v1'});
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
