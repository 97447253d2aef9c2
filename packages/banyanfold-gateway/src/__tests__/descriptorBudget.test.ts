import http from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {MemoryLogger, Metrics, systemClock} from '@banyanfold/core';
import fc from 'fast-check';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import type {GatewayContext} from '../context.js';
import {GatewayServer} from '../gatewayServer.js';
import {DEFAULT_OPTIONS} from '../options.js';
import {decideDescriptors} from '../resources/decideDescriptors.js';
import {DescriptorBudget} from '../resources/descriptorBudget.js';
import type {RunnerConnections} from '../runners/runnerConnections.js';

/** 200 are reserved, which leaves 60. */
const MAX_DESCRIPTORS = 260;
const LIMIT = 60;
/** A caller needs a second one, for its request. */
const IDLE_CALLERS = LIMIT - 1;
const MAX_REFUSED = 100;

describe('decideDescriptors', () => {
  it('stays within the limit and refuses only without idle runners', () => {
    // Guards against a process without descriptors, and against refusals while
    // connections are open that nobody uses.
    const view = fc.record({
      limit: fc.nat(100),
      callers: fc.nat(60),
      requests: fc.nat(60),
      idleRunners: fc.nat(60),
      wanted: fc.nat(2),
    });
    fc.assert(
      fc.property(view, given => {
        const {limit, callers, requests, idleRunners, wanted} = given;
        const decision = decideDescriptors(given);
        const inUse = callers + requests + wanted;
        expect(decision.isAvailable).toBe(inUse <= limit);
        if (!decision.isAvailable) return;
        const left = idleRunners - decision.idleRunnersToClose;
        expect(left).toBe(Math.min(idleRunners, limit - inUse));
      }),
    );
  });
});

describe('DescriptorBudget', () => {
  let server: GatewayServer;
  let metrics: Metrics;
  let runners: {openCount: number; idleCount: number};
  let sockets: Socket[];
  let all: number | undefined;
  let budget: DescriptorBudget;

  beforeEach(async () => {
    sockets = [];
    all = undefined;
    metrics = new Metrics();
    runners = {openCount: 0, idleCount: 0};
    const connections = {
      ...runners,
      closeLongestIdle(count: number) {
        const closed = Math.min(count, this.idleCount);
        this.idleCount -= closed;
        this.openCount -= closed;
        return closed;
      },
    };
    runners = connections;
    budget = new DescriptorBudget({
      metrics,
      maxDescriptors: MAX_DESCRIPTORS,
      connections: connections as unknown as RunnerConnections,
      countAll: () => all,
    });
    server = new GatewayServer({
      clock: systemClock,
      logger: new MemoryLogger(),
      metrics,
      descriptors: budget,
      view: {
        isReady: true,
        onChange: () => () => {},
        findRoute: () => undefined,
        isConfigConfirmed: () => true,
      },
      random: () => 0,
      isDraining: () => false,
      options: DEFAULT_OPTIONS,
    } as unknown as GatewayContext);
    await server.listen(0, '127.0.0.1');
  });

  afterEach(() => {
    for (const socket of sockets) socket.destroy();
    server.server.closeAllConnections();
    server.stopAccepting();
  });

  const portOf = () => (server.server.address() as AddressInfo).port;

  async function connectIdle(count: number): Promise<void> {
    for (let i = 0; i < count; i++) {
      const accepted = new Promise(resolve =>
        server.server.once('connection', resolve),
      );
      const socket = connect(portOf(), '127.0.0.1');
      socket.on('error', () => {});
      sockets.push(socket);
      await accepted;
    }
  }

  /** Returns the status, which is 404 for a request that is not refused. */
  function send(body = ''): Promise<{status?: number; retryAfter?: string}> {
    return new Promise((resolve, reject) => {
      const request = http.request(
        {port: portOf(), host: '127.0.0.1', method: 'POST', agent: false},
        response => {
          response.resume();
          response.on('end', () =>
            resolve({
              status: response.statusCode,
              retryAfter: response.headers['retry-after'],
            }),
          );
        },
      );
      request.on('error', reject);
      request.end(body);
    });
  }

  it('refuses a request without a descriptor for its runner', async () => {
    // Guards against connections that are accepted and then cut off because no
    // runner can be reached; the body must not turn the refusal into a reset.
    await connectIdle(IDLE_CALLERS - 1);
    expect((await send()).status).toBe(404);
    await connectIdle(1);
    const refused = await send('x'.repeat(1_000_000));
    expect(refused).toEqual({status: 503, retryAfter: '1.00'});
    sockets.pop()!.destroy();
    let status: number | undefined;
    do ({status} = await send());
    while (status === 503);
    expect(status).toBe(404);
  });

  it('closes idle connections to runners before it refuses', async () => {
    // Guards against refusing callers in favour of connections that only save
    // the time to connect.
    Object.assign(runners, {openCount: 40, idleCount: 40});
    await connectIdle(IDLE_CALLERS - 1);
    expect((await send()).status).toBe(404);
    expect(runners.idleCount).toBe(0);
    const closed = 'idle_runner_connections_closed_total';
    expect(metrics.counterValue(closed)).toBe(40);
  });

  it('bounds the connections that only wait to be refused', async () => {
    // Guards against callers that use up the reserve by connecting in vain.
    await connectIdle(IDLE_CALLERS + MAX_REFUSED);
    const closed = () =>
      metrics.counterValue('caller_connections_closed_total');
    expect(closed()).toBe(0);
    await connectIdle(3);
    expect(closed()).toBe(3);
  });

  it('counts what files and other connections take beyond the reserve', () => {
    // Guards against a holder whose connections to other entries and runners
    // use up the descriptors that callers were promised.
    expect(budget.limit).toBe(LIMIT);
    all = 150;
    budget.measure();
    expect(budget.limit).toBe(MAX_DESCRIPTORS - 150 - MAX_REFUSED);
  });
});
