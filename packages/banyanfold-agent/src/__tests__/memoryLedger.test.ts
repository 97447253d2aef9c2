import {VirtualClock} from '@banyanfold/core';
import {describe, expect, it} from 'vitest';
import {MemoryLedger} from '../memory/memoryLedger.js';

const LATE_BOUND_MS = 1_000;

type EngineModel = {
  artifact: string;
  bytes: number;
  state: 'loading' | 'loaded' | 'unloading';
};

/** Creates a ledger on a virtual clock, with helpers to report to it. */
function createLedger(options: {checksFencing?: boolean; kvPool?: 'separate'}) {
  const clock = new VirtualClock();
  const ledger = new MemoryLedger({
    clock,
    checksFencing: true,
    orderLateBoundMs: LATE_BOUND_MS,
    kvPool: 'shared',
    kvFloorShare: 0.1,
    inheritedBoundMs: 10_000,
    createCopyId: artifact => `found/${artifact}`,
    ...options,
  });
  const observe = (
    takenAtMs: number,
    models: EngineModel[] = [],
    fields: {engineNowMs?: number; kvUsedBytes?: number} = {},
  ) =>
    ledger
      .observe(
        {
          takenAtMs,
          kvUsedBytes: fields.kvUsedBytes ?? 0,
          kvCapacityBytes: 50,
          memoryCapacityBytes: 100,
          models,
        },
        {
          sentAtMs: clock.nowMs(),
          engineNowMs: fields.engineNowMs ?? takenAtMs,
        },
      )
      .map(({kind, artifact}) => `${kind} ${artifact}`.trim());
  /** Ends the quarantine of an engine that checks fencing. */
  const endQuarantine = (takenAtMs = 10) => {
    observe(takenAtMs - 2);
    ledger.noteBarrierAccepted(takenAtMs - 1, []);
    observe(takenAtMs);
  };
  const reserveLoad = (artifact: string, bytes: number) =>
    ledger.reserveLoad({artifact, bytes, orderId: `order/${artifact}`}).match(
      ({state}) => state as string,
      refusal => refusal,
    );
  return {clock, ledger, observe, endQuarantine, reserveLoad};
}

const loadedModel = (artifact: string, bytes = 20): EngineModel => ({
  artifact,
  bytes,
  state: 'loaded',
});

describe('MemoryLedger', () => {
  it('reserves nothing before a report or in quarantine', () => {
    const {reserveLoad, observe, endQuarantine} = createLedger({});
    expect(reserveLoad('a@1', 1)).toBe('no-report');
    observe(5);
    expect(reserveLoad('a@1', 1)).toBe('quarantine');
    endQuarantine();
    expect(reserveLoad('a@1', 1)).toBe('reserved');
  });

  it('keeps loads off the KV floor and the memory of running requests', () => {
    const {reserveLoad, endQuarantine, ledger} = createLedger({});
    endQuarantine();
    expect(reserveLoad('a@1', 91)).toBe('no-memory');
    expect(reserveLoad('a@1', 60)).toBe('reserved');
    ledger.budget.reserveKv('r', 30);
    expect(reserveLoad('b@1', 11)).toBe('no-memory');
    expect(reserveLoad('b@1', 10)).toBe('reserved');
    expect(ledger.budget.kvFreeBytes()).toBe(0);
  });

  it('does not count KV cache that the engine reserves separately', () => {
    const {reserveLoad, endQuarantine, ledger} = createLedger({
      kvPool: 'separate',
    });
    endQuarantine();
    ledger.budget.reserveKv('r', 30);
    expect(reserveLoad('a@1', 100)).toBe('reserved');
    expect(ledger.budget.kvFreeBytes()).toBe(20);
  });

  // A load order of the previous process may be in flight. Loads never use the
  // KV floor, so requests are limited to the floor until no such order can
  // arrive.
  it('limits requests to the KV floor in quarantine', () => {
    const {observe, endQuarantine, ledger} = createLedger({});
    // This report may not yet contain the last requests of that process.
    observe(5, [], {kvUsedBytes: 0});
    expect(ledger.budget.kvFreeBytes()).toBe(0);
    observe(6, [], {kvUsedBytes: 4});
    expect(ledger.budget.kvFreeBytes()).toBe(6);
    endQuarantine();
    expect(ledger.budget.kvFreeBytes()).toBe(50);
  });

  it('frees a failed load only after a report newer than its order', () => {
    const {observe, endQuarantine, reserveLoad, ledger} = createLedger({});
    endQuarantine();
    reserveLoad('a@1', 60);
    expect(observe(20)).toEqual([]);
    ledger.noteLoadAccepted('order/a@1', 30);
    expect(observe(25)).toEqual([]);
    expect(observe(30)).toEqual([]);
    expect(observe(31)).toEqual(['load-failed a@1']);
  });

  it('frees an unloaded copy only after a report newer than its order', () => {
    const {observe, endQuarantine, ledger} = createLedger({});
    endQuarantine();
    observe(20, [loadedModel('a@1')]);
    ledger.startRelease('a@1', 'unload-1');
    expect(observe(30)).toEqual([]);
    ledger.noteUnloadAccepted('unload-1', 40);
    expect(observe(35)).toEqual([]);
    expect(observe(41)).toEqual(['released a@1']);
  });

  // Two reports arrive out of order. The older one lists a copy that is no
  // longer loaded; if it were applied, requests would be sent to that copy.
  it('does not restore a copy from an older report', () => {
    const {observe, endQuarantine, ledger} = createLedger({});
    endQuarantine();
    observe(20, [loadedModel('a@1')]);
    expect(observe(30)).toEqual(['vanished a@1']);
    expect(observe(25, [loadedModel('a@1')])).toEqual([]);
    expect(ledger.canServe('a@1')).toBe(false);
  });

  it('resolves a load in doubt by a barrier and a later report', () => {
    const {observe, endQuarantine, reserveLoad, ledger} = createLedger({});
    endQuarantine();
    reserveLoad('a@1', 60);
    ledger.noteLoadInDoubt('order/a@1');
    expect(ledger.needsBarrier()).toBe(true);
    expect(observe(50)).toEqual([]);
    ledger.noteBarrierAccepted(60, ['order/a@1']);
    expect(observe(60)).toEqual([]);
    expect(observe(61)).toEqual(['doubt-ended a@1']);
  });

  it('resolves a load in doubt without fencing by the late bound', async () => {
    const {clock, observe, reserveLoad, ledger} = createLedger({
      checksFencing: false,
    });
    await clock.advance(LATE_BOUND_MS);
    observe(100);
    observe(101);
    reserveLoad('a@1', 60);
    ledger.noteLoadInDoubt('order/a@1');
    await clock.advance(LATE_BOUND_MS - 1);
    expect(observe(200, [], {engineNowMs: 210})).toEqual([]);
    await clock.advance(1);
    // The late bound has passed, but this report was taken before it did.
    expect(observe(205, [], {engineNowMs: 220})).toEqual([]);
    expect(observe(220, [], {engineNowMs: 230})).toEqual([]);
    expect(observe(221, [], {engineNowMs: 231})).toEqual(['doubt-ended a@1']);
  });

  it('adopts the reported copies in each state', () => {
    const {observe, ledger} = createLedger({});
    const models: EngineModel[] = [
      loadedModel('a@1'),
      {artifact: 'b@1', bytes: 1, state: 'loading'},
      {artifact: 'c@1', bytes: 1, state: 'unloading'},
    ];
    observe(20, models);
    const states = ledger.all().map(({copyId, state}) => `${copyId} ${state}`);
    expect(states).toEqual([
      'found/a@1 held',
      'found/b@1 reserved',
      'found/c@1 releasing',
    ]);
  });

  it('serves an adapter only with its base model', () => {
    const {observe, ledger} = createLedger({});
    observe(20, [loadedModel('a@1+x@1')]);
    expect(ledger.canServe('a@1+x@1')).toBe(false);
    observe(21, [loadedModel('a@1+x@1'), loadedModel('a@1')]);
    expect(ledger.canServe('a@1+x@1')).toBe(true);
  });

  // The engine unloads the copy, but every answer to the order is lost. A
  // report that was taken after the order was sent and doesn't list the copy
  // proves the unload. Otherwise its bytes would stay reserved forever, and the
  // next version of the model would not fit.
  it('releases an unloaded copy although every answer was lost', async () => {
    const {clock, observe, endQuarantine, ledger} = createLedger({});
    endQuarantine();
    observe(20, [loadedModel('a@1')]);
    ledger.startRelease('a@1', 'unload-1');
    expect(observe(21)).toEqual([]);
    await clock.advance(1);
    // The report was requested after the order was sent but taken before it.
    expect(observe(22, [], {engineNowMs: 50})).toEqual([]);
    expect(observe(50, [], {engineNowMs: 60})).toEqual([]);
    expect(observe(51, [], {engineNowMs: 60})).toEqual(['released a@1']);
  });

  it('requests an unload again that the engine accepted but ignored', () => {
    const {observe, endQuarantine, ledger} = createLedger({});
    endQuarantine();
    observe(20, [loadedModel('a@1')]);
    ledger.startRelease('a@1', 'unload-1');
    ledger.noteUnloadAccepted('unload-1', 40);
    expect(observe(39, [loadedModel('a@1')])).toEqual([]);
    expect(observe(41, [loadedModel('a@1')])).toEqual(['unload-ignored a@1']);
  });

  // After an engine restart its clock has fallen back, and it may have lost the
  // ids of the orders that it accepted. Times of the old process prove nothing.
  it('returns to quarantine after an engine restart', () => {
    const {observe, endQuarantine, reserveLoad, ledger} = createLedger({});
    endQuarantine(50_000);
    reserveLoad('a@1', 60);
    ledger.noteLoadAccepted('order/a@1', 50_010);
    expect(observe(100)).toEqual(['engine-restarted']);
    expect(ledger.isInQuarantine()).toBe(true);
    expect(observe(101)).toEqual(['load-failed a@1']);
    endQuarantine(200);
    expect(ledger.isInQuarantine()).toBe(false);
  });
});
