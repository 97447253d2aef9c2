import {MemoryLogger, Metrics, VirtualClock} from '@banyanfold/core';
import {describe, expect, it} from 'vitest';
import type {EngineOrder, OrderResult} from '../engine/engineSchemas.js';
import {OrderSender} from '../engine/orderSender.js';
import {MemoryLedger} from '../memory/memoryLedger.js';

const BOUND_MS = 1_000;

function createSender(answers: OrderResult[]) {
  const clock = new VirtualClock();
  const sent: EngineOrder[] = [];
  const superseded: number[] = [];
  const ledger = new MemoryLedger({
    clock,
    checksFencing: true,
    orderLateBoundMs: BOUND_MS,
    kvPool: 'shared',
    kvFloorShare: 0.1,
    inheritedBoundMs: BOUND_MS,
    createCopyId: artifact => artifact,
  });
  const report = {
    takenAtMs: 2,
    kvUsedBytes: 0,
    kvCapacityBytes: 50,
    memoryCapacityBytes: 100,
    models: [],
  };
  ledger.noteBarrierAccepted(1, []);
  ledger.observe(report, {sentAtMs: 0, engineNowMs: 2});
  ledger.reserveLoad({artifact: 'a@1', bytes: 50, orderId: 'o1'});
  const orders = new OrderSender({
    engine: {
      order: async order => {
        sent.push(order);
        return answers.shift() ?? {kind: 'answer-lost'};
      },
    },
    ledger,
    clock,
    logger: new MemoryLogger(),
    metrics: new Metrics(),
    random: () => 0.5,
    fencing: () => 7,
    onSuperseded: highest => superseded.push(highest),
  });
  return {clock, ledger, orders, sent, superseded};
}

const lost: OrderResult = {kind: 'answer-lost'};
const notSent: OrderResult = {kind: 'not-sent'};
const accepted: OrderResult = {kind: 'accepted', visibleAfterMs: 9};
const refused: OrderResult = {
  kind: 'refused',
  code: 'out-of-memory',
  engineNowMs: 9,
};
const stale = (highestFencing: number): OrderResult => ({
  kind: 'stale-fencing',
  highestFencing,
  engineNowMs: 9,
});

// The bytes of a load may be freed only when it is certain that the engine
// never accepted the order and never will.
describe('load', () => {
  it.each<[string, OrderResult[], string, number]>([
    ['accepted', [accepted], 'reserved', 1],
    ['accepted after lost answers', [lost, lost, accepted], 'reserved', 3],
    ['never answered', [], 'in-doubt', 4],
    // A delayed duplicate may find free memory and be accepted.
    ['refused', [refused], 'in-doubt', 1],
    ['made stale by our own barrier', [stale(7)], 'in-doubt', 1],
    ['never sent for lack of a connection', Array(4).fill(notSent), 'free', 4],
    ['lost once, then not sent', [lost, notSent], 'in-doubt', 4],
  ])('handles an order that was %s', async (_name, answers, state, count) => {
    const {clock, ledger, orders, sent} = createSender([...answers]);
    void orders.load('a@1', 50, 'o1');
    await clock.advance(10_000);
    expect(ledger.get('a@1')?.state ?? 'free').toBe(state);
    expect(sent).toHaveLength(count);
    expect(new Set(sent.map(({orderId}) => orderId))).toEqual(new Set(['o1']));
  });

  it('reports another agent with a higher fencing token', async () => {
    const {clock, orders, superseded} = createSender([stale(8)]);
    void orders.load('a@1', 50, 'o1');
    await clock.advance(1_000);
    expect(superseded).toEqual([8]);
  });
});

describe('unload', () => {
  it('resends the order until the engine responds', async () => {
    const {clock, orders, sent} = createSender([lost, lost, lost, accepted]);
    void orders.unload('a@1', () => 'u1');
    await clock.advance(60_000);
    expect(sent).toHaveLength(4);
  });
});
