import {VirtualClock} from '@banyanfold/core';
import {describe, expect, it} from 'vitest';
import {
  PlainServiceState,
  VmListState,
  WeightStoreState,
  type ListedVm,
  type ServiceFaults,
} from '../index.js';
import {outcomeAfter} from './helpers.js';

describe('WeightStoreState', () => {
  it('limits loads a second and loads at once', async () => {
    const clock = new VirtualClock();
    const options = {loadsPerSecond: 2, loadsAtOnce: 3, baseLoadMs: 60_000};
    const store = new WeightStoreState(options, {clock});
    const tryLoad = async () =>
      (await store.beginLoad('claims@3', 0)).match(
        ({loadId}) => loadId,
        ({status, code}) => `${status} ${code}`,
      );
    const seen = [await tryLoad(), await tryLoad(), await tryLoad()];
    await clock.advance(1000);
    seen.push(await tryLoad(), await tryLoad());
    await store.endLoad('load-1');
    seen.push(await tryLoad());
    expect(seen).toEqual([
      'load-1',
      'load-2',
      '429 loads-per-second',
      'load-3',
      '429 loads-at-once',
      'load-4',
    ]);
  });

  it('frees the place of a load whose end was never told', async () => {
    const clock = new VirtualClock();
    const store = new WeightStoreState({baseLoadMs: 1000}, {clock});
    await store.beginLoad('claims@3', 0);
    await clock.advance(3999);
    expect(store.loadsInProgress).toBe(1);
    await clock.advance(1);
    expect(store.loadsInProgress).toBe(0);
  });

  it('is slower by the factor, and unreachable in an outage', async () => {
    const clock = new VirtualClock();
    const options = {bytesPerSecond: 1000, baseLoadMs: 100};
    const store = new WeightStoreState(options, {clock});
    store.faults.set({slowFactor: 3});
    const load = await store.beginLoad('claims@3', 1000);
    expect(load._unsafeUnwrap().durationMs).toBe(3300);
    store.faults.set({outage: 'cut'});
    const refused = await store.beginLoad('claims@3', 1000);
    expect(refused._unsafeUnwrapErr().status).toBe(0);
  });
});

describe('VmListState', () => {
  const vm: ListedVm = {
    vmId: 'a1',
    role: 'agent',
    host: '127.0.0.1',
    port: 8500,
    failureDomain: 'fd-1',
    region: 'suva',
    state: 'live',
  };

  it('shows a change after the lag', async () => {
    const clock = new VirtualClock(0);
    const list = new VmListState({vms: [vm]}, {clock});
    list.faults.set({lagMs: 2000});
    await clock.advance(5000);
    list.setVms([{...vm, state: 'leaving'}]);
    const stateSeen = async () =>
      (await list.list())._unsafeUnwrap().vms[0]?.state;
    expect(await stateSeen()).toBe('live');
    await clock.advance(2000);
    expect(await stateSeen()).toBe('leaving');
    expect((await list.list())._unsafeUnwrap().asOfMs).toBe(5000);
  });

  it('refuses a list that is none, and everything in an outage', async () => {
    const list = new VmListState({}, {clock: new VirtualClock()});
    expect(list.setVms([{vmId: 1}])._unsafeUnwrapErr().status).toBe(400);
    list.faults.set({outage: 'refuse'});
    expect((await list.list())._unsafeUnwrapErr().status).toBe(503);
  });
});

describe('PlainServiceState', () => {
  // What the caller sees says nothing of whether the call ran; only the truth
  // does. A lost answer comes after the effect, a 500 and an outage before it.
  const cases: Array<{
    fault: Partial<ServiceFaults>;
    status: number | 'pending' | 'ok';
    calls: number;
  }> = [
    {fault: {}, status: 'ok', calls: 1},
    {fault: {loseNextAnswers: 1}, status: 0, calls: 1},
    {fault: {answerLossProbability: 1}, status: 0, calls: 1},
    {
      fault: {loseNextAnswers: 1, lostAnswersHang: true},
      status: 'pending',
      calls: 1,
    },
    {fault: {answerDelayMs: 9000}, status: 'pending', calls: 1},
    {fault: {requestDelayMs: 9000}, status: 'pending', calls: 0},
    {fault: {failNext: 1}, status: 500, calls: 0},
    {fault: {outage: 'refuse'}, status: 503, calls: 0},
  ];
  it.each(cases)('call with $fault', async ({fault, status, calls}) => {
    const clock = new VirtualClock(0);
    const service = new PlainServiceState({faults: fault}, {clock});
    const call = {
      method: 'POST',
      path: '/lodge',
      idempotencyKey: 'k1',
      body: {claim: 7},
    };
    const outcome = await outcomeAfter(clock, 1000, service.call(call));
    const seen =
      outcome === 'pending'
        ? outcome
        : outcome.match(
            () => 'ok',
            refusal => refusal.status,
          );
    expect(seen).toBe(status);
    const recorded = service.truth.ofKind('call');
    expect(recorded).toEqual(
      Array(calls).fill({atMs: 0, kind: 'call', ...call}),
    );
  });
});
