import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {MemoryLogger, Metrics, VirtualClock} from '@banyanfold/core';
import {afterEach, describe, expect, it} from 'vitest';
import {EngineClient} from '../engine/engineClient.js';
import {OrderSender} from '../engine/orderSender.js';
import {MemoryLedger} from '../memory/memoryLedger.js';

const ARTIFACT = 'a@1';
/** Engine times of an order's arrival and of its response, after a stall. */
const RECEIVED_AT_MS = 10;
const ANSWERED_AT_MS = 40;

let server: Server | undefined;
let engine: EngineClient | undefined;
afterEach(async () => {
  await engine?.close();
  await new Promise(resolve => server?.close(resolve));
});

/** Starts an engine that stalls between receiving and executing an order. */
async function startStallingEngine(): Promise<string> {
  server = createServer((request, response) => {
    request.resume().on('end', () => {
      response.writeHead(202, {
        'content-type': 'application/json',
        'x-engine-now-ms': String(ANSWERED_AT_MS),
      });
      const answer = {orderId: 'o1', receivedAtMs: RECEIVED_AT_MS};
      response.end(JSON.stringify(answer));
    });
  });
  await new Promise<void>(resolve => server?.listen(0, '127.0.0.1', resolve));
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function createAgentParts() {
  const clock = new VirtualClock();
  const ledger = new MemoryLedger({
    clock,
    checksFencing: true,
    orderLateBoundMs: 1_000,
    kvPool: 'shared',
    kvFloorShare: 0.1,
    inheritedBoundMs: 1_000,
    createCopyId: artifact => artifact,
  });
  engine = new EngineClient({
    url: await startStallingEngine(),
    clock,
    requestTimeoutMs: 10_000,
    streamIdleTimeoutMs: 10_000,
    wholeAnswerTimeoutMs: 10_000,
  });
  const orders = new OrderSender({
    engine,
    ledger,
    clock,
    logger: new MemoryLogger(),
    metrics: new Metrics(),
    random: () => 0.5,
    fencing: () => 7,
    onSuperseded: () => {},
  });
  const observe = (takenAtMs: number, models: ReportedModel[]) =>
    ledger.observe(
      {
        takenAtMs,
        kvUsedBytes: 0,
        kvCapacityBytes: 50,
        memoryCapacityBytes: 100,
        models,
      },
      {sentAtMs: 0, engineNowMs: ANSWERED_AT_MS + takenAtMs},
    );
  ledger.noteBarrierAccepted(1, []);
  observe(2, []);
  return {ledger, orders, observe};
}

type ReportedModel = Parameters<MemoryLedger['observe']>[0]['models'][number];

// Guards against using reports taken while the engine stalls as evidence. The
// engine has received the order by then, but has not executed it yet.
describe('a report taken between an order and its response', () => {
  it('frees no bytes of a load in flight', async () => {
    const {ledger, orders, observe} = await createAgentParts();
    const order = {artifact: ARTIFACT, bytes: 50, orderId: 'o1'};
    ledger.reserveLoad(order);
    await orders.load(ARTIFACT, order.bytes, order.orderId);
    observe(RECEIVED_AT_MS + 10, []);
    expect(ledger.get(ARTIFACT)?.state).toBe('reserved');
    observe(ANSWERED_AT_MS + 1, []);
    expect(ledger.get(ARTIFACT)).toBeUndefined();
  });

  it('does not repeat an unload order', async () => {
    const {orders, observe} = await createAgentParts();
    const loaded: ReportedModel = {
      artifact: ARTIFACT,
      bytes: 50,
      state: 'loaded',
    };
    observe(3, [loaded]);
    await orders.unload(ARTIFACT, () => 'o1');
    const kinds = (takenAtMs: number) =>
      observe(takenAtMs, [loaded]).map(({kind}) => kind);
    expect(kinds(RECEIVED_AT_MS + 10)).toEqual([]);
    expect(kinds(ANSWERED_AT_MS + 1)).toEqual(['unload-ignored']);
  });

  it('does not end a quarantine', async () => {
    const {orders} = await createAgentParts();
    const visibleAfterMs = await orders.setRole('desk', 'o1');
    expect(visibleAfterMs).toBe(ANSWERED_AT_MS);
  });
});
