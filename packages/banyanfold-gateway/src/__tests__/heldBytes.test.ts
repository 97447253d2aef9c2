import {EventEmitter} from 'node:events';
import type {ServerResponse} from 'node:http';
import {MemoryLogger, Metrics, VirtualClock} from '@banyanfold/core';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {DEFAULT_OPTIONS} from '../options.js';
import {decideGivingWay} from '../resources/decideGivingWay.js';
import {HeldBytes} from '../resources/heldBytes.js';
import type {Holding} from '../resources/holding.js';

const BOUND_BYTES = 1_000_000;
const {heldAdmittedShare, stalledAfterMs} = DEFAULT_OPTIONS;
const ADMITTED_BYTES = BOUND_BYTES * heldAdmittedShare;

/** A caller's connection, of which only the unsent bytes matter. */
class FakeResponse extends EventEmitter {
  writableLength = 0;
}

interface Caller {
  isFast: boolean;
  isOpen: boolean;
  bodyBytes: number;
  response: FakeResponse;
  holding: Holding;
  lastTakenMs: number;
}

/** Callers at one entry; the slow ones never take a byte. */
class CallerModel {
  readonly clock = new VirtualClock();
  readonly held = new HeldBytes({
    clock: this.clock,
    logger: new MemoryLogger(),
    metrics: new Metrics(),
    boundBytes: BOUND_BYTES,
    options: DEFAULT_OPTIONS,
  });
  callers: Caller[] = [];
  readonly gaveWay: Caller[] = [];

  get openCallers(): Caller[] {
    return this.callers.filter(({isOpen}) => isOpen);
  }

  /** Counted independently of the class under test. */
  get actualBytes(): number {
    return this.openCallers.reduce(
      (sum, {bodyBytes, response}) => sum + bodyBytes + response.writableLength,
      0,
    );
  }

  /** Bytes that no stalled transfer holds. */
  get unstalledBytes(): number {
    const nowMs = this.clock.nowMs();
    return this.openCallers
      .filter(
        ({response, lastTakenMs}) =>
          response.writableLength === 0 || nowMs - lastTakenMs < stalledAfterMs,
      )
      .reduce((sum, c) => sum + c.bodyBytes + c.response.writableLength, 0);
  }

  open(isFast: boolean, bodyBytes: number): boolean {
    const response = new FakeResponse();
    const holding = this.held.admit(
      response as unknown as ServerResponse,
      bodyBytes,
    );
    if (!holding?.addBody(bodyBytes)) return false;
    holding.endBody();
    const lastTakenMs = this.clock.nowMs();
    const caller: Caller = {
      isFast,
      isOpen: true,
      bodyBytes,
      response,
      holding,
      lastTakenMs,
    };
    holding.giveWay = () => {
      caller.isOpen = false;
      this.gaveWay.push(caller);
    };
    this.callers.push(caller);
    return true;
  }

  /** Writes a part of a response to a caller. */
  write(index: number, bytes: number): void {
    const open = this.openCallers;
    const caller = open[index % open.length];
    if (!caller) return;
    const {holding, response} = caller;
    holding.noteReceived();
    if (response.writableLength === 0) caller.lastTakenMs = this.clock.nowMs();
    response.writableLength += bytes;
    holding.recount();
    if (!caller.isFast || !caller.isOpen) return;
    response.writableLength = 0;
    holding.noteTaken();
  }

  /** The callers that take everything leave once they are served. */
  closeServed(): void {
    for (const caller of this.openCallers) {
      if (!caller.isFast) continue;
      caller.isOpen = false;
      caller.response.emit('close');
    }
  }
}

describe('decideGivingWay', () => {
  it('chooses stalled transfers first, by size and waiting time', () => {
    // Guards against a caller that reads losing its large response because of
    // callers that have stopped reading.
    const transfers = [
      {id: 1, bytes: 900, waitingMs: 20},
      {id: 2, bytes: 10, waitingMs: 5_000},
      {id: 3, bytes: 100, waitingMs: 2_000},
    ];
    const view = {heldBytes: 1_010, transfers, isOnlyStalled: false};
    const idsFor = (targetBytes: number) =>
      decideGivingWay({...view, targetBytes}, 1_000).transfers.map(t => t.id);
    expect(idsFor(1_010)).toEqual([]);
    expect(idsFor(910)).toEqual([3]);
    expect(idsFor(905)).toEqual([3, 2]);
    expect(idsFor(0)).toEqual([3, 2, 1]);
    const forRequest = {...view, targetBytes: 0, isOnlyStalled: true};
    expect(decideGivingWay(forRequest, 1_000)).toMatchObject({
      transfers: [{id: 3}, {id: 2}],
      heldBytes: 900,
      isSufficient: false,
    });
  });

  // Guards against ending requests whose end frees nothing.
  it('does not choose a transfer that holds no memory', () => {
    const transfers = [
      {id: 1, bytes: 0, waitingMs: 5_000},
      {id: 2, bytes: 900, waitingMs: 20},
    ];
    const view = {heldBytes: 900, targetBytes: 0, isOnlyStalled: false};
    const chosen = decideGivingWay({...view, transfers}, 1_000).transfers;
    expect(chosen.map(({id}) => id)).toEqual([2]);
  });
});

describe('HeldBytes', () => {
  it('stays under its bound and keeps serving callers that read', async () => {
    // Guards against a process that is killed because callers read slowly, and
    // against slow callers that keep the others from being served.
    const step = fc.record({
      advanceMs: fc.integer({min: 50, max: 700}),
      opens: fc.array(
        fc.record({isFast: fc.boolean(), bodyBytes: fc.nat(150_000)}),
        {maxLength: 4},
      ),
      writes: fc.array(
        fc.record({
          index: fc.nat(1_000),
          bytes: fc.integer({min: 1, max: 131_072}),
        }),
        {maxLength: 30},
      ),
    });
    await fc.assert(
      fc.asyncProperty(fc.array(step, {maxLength: 30}), async steps => {
        const model = new CallerModel();
        for (const {advanceMs, opens, writes} of steps) {
          await model.clock.advance(advanceMs);
          for (const {isFast, bodyBytes} of opens) {
            await model.clock.advance(50);
            const isAdmitted = model.open(isFast, bodyBytes);
            if (isAdmitted) continue;
            // A refusal needs a reason that stalled callers can't be.
            expect(model.unstalledBytes + bodyBytes).toBeGreaterThan(
              ADMITTED_BYTES,
            );
          }
          for (const {index, bytes} of writes) {
            await model.clock.advance(1);
            model.write(index, bytes);
            expect(model.held.heldBytes).toBeLessThanOrEqual(BOUND_BYTES);
            expect(model.held.heldBytes).toBe(model.actualBytes);
          }
          model.closeServed();
        }
        expect(model.gaveWay.filter(({isFast}) => isFast)).toEqual([]);
      }),
      {numRuns: 300},
    );
  });

  it('tells the bytes that callers take from those of stalled ones', async () => {
    // Guards against callers that read nothing looking like a full link, for
    // which new requests are refused.
    const model = new CallerModel();
    model.open(false, 1_000);
    model.write(0, 70);
    expect(model.held.movingBytes).toBe(70);
    await model.clock.advance(stalledAfterMs);
    model.write(0, 70);
    expect(model.held.movingBytes).toBe(0);
    expect(model.held.heldBytes).toBe(1_140);
  });

  it('makes a caller give way that stalls while it sends its body', async () => {
    // Guards against callers that announce bodies, send most of them and stop:
    // with their memory held until they leave, nobody else would be admitted.
    const {clock, held} = new CallerModel();
    const admit = (bytes: number) => {
      const response = new FakeResponse() as unknown as ServerResponse;
      const holding = held.admit(response, bytes);
      return holding?.addBody(bytes) ? holding : undefined;
    };
    const slow = admit(ADMITTED_BYTES)!;
    let hasGivenWay = false;
    slow.giveWay = () => {
      hasGivenWay = true;
    };
    expect(admit(1)).toBeUndefined();
    await clock.advance(stalledAfterMs);
    expect(admit(1)).toBeDefined();
    expect(hasGivenWay).toBe(true);
    expect(slow.addBody(1)).toBe(false);
    expect(held.heldBytes).toBe(1);
  });
});
