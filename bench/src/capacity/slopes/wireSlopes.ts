import {createServer} from 'node:http';
import {systemClock} from '@banyanfold/core';
import {
  createLogService,
  createVmListService,
  type LogPage,
} from '@banyanfold/log';
import {
  createAgentClient,
  createAgentRouter,
  createControlHandler,
  type AgentHandlers,
  type AgentReport,
} from '@banyanfold/protocol';
import {startRelay} from '../countingRelay.js';
import {configOf, reportOf, vmListOf} from '../fixtures.js';
import type {Point} from '../model/fit.js';
import {toSlope, type Slope} from '../model/slope.js';

const HOST = '127.0.0.1';
const KEY = 'bench-internal-key';
const CALLS = 20;

/** Bytes on the wire of one exchange, through a relay that counts. */
export async function wireSlopes(): Promise<Slope[]> {
  const copies = [0, 2, 4, 8, 16].map(x => sized(x, {copies: x}));
  const prefixes = [0, 32, 64, 128, 256].map(x => sized(x, {prefixes: x}));
  const served = [0, 16, 64, 256, 1_200].map(x => sized(x, {served: x}));
  return [
    await reportSlope('report bytes by copies', 'copy', copies),
    await reportSlope('report bytes by prefixes', 'cached prefix', prefixes),
    await reportSlope('report bytes by served', 'artifact served', served),
    await vmListSlope(),
    await configPollSlope(),
  ];
}

type SizedReport = {x: number; report: AgentReport};

function sized(x: number, sizes: Parameters<typeof reportOf>[1]): SizedReport {
  return {x, report: reportOf(1, {copies: 0, served: 0, ...sizes})};
}

async function reportSlope(
  name: string,
  per: string,
  reports: SizedReport[],
): Promise<Slope> {
  let current = reports[0]!.report;
  const unused = () => Promise.reject(new Error('not served here'));
  const handlers: AgentHandlers = {
    report: async () => current,
    seal: unused,
    propose: unused,
    drain: unused,
  };
  const control = createControlHandler({
    router: createAgentRouter(handlers),
    keys: [KEY],
  });
  const points: Point[] = [];
  await withRelay(control, async (port, takeBytes) => {
    const client = createAgentClient({host: HOST, port, internalKey: KEY});
    for (const {x, report} of reports) {
      current = report;
      const y = await bytesPerCall(takeBytes, () => client.report.query());
      points.push({x, y});
    }
  });
  return toSlope(name, 'bytes', per, points);
}

async function vmListSlope(): Promise<Slope> {
  const points: Point[] = [];
  let text = '';
  await withRelay(
    (_req, res) => sendJson(res, text),
    async (port, takeBytes) => {
      const service = createVmListService({url: `http://${HOST}:${port}`});
      for (const vms of [50, 300, 730, 1_500, 2_730]) {
        const entries = Math.round(vms * 0.267);
        text = JSON.stringify(vmListOf(entries, vms - entries));
        const y = await bytesPerCall(takeBytes, async () => service.read());
        points.push({x: vms, y});
      }
    },
  );
  return toSlope('VM list bytes', 'bytes', 'VM listed', points);
}

/** The poll of a log stream that brings one publish; 0 models: none. */
async function configPollSlope(): Promise<Slope> {
  const points: Point[] = [];
  let text = '';
  await withRelay(
    (_req, res) => sendJson(res, text),
    async (port, takeBytes) => {
      const url = `http://${HOST}:${port}`;
      const log = createLogService({url, clock: systemClock});
      for (const models of [0, 75, 300, 600, 1_200]) {
        text = JSON.stringify(pageOf(models));
        const options = {fromOffset: 123_456, limit: 500, waitMs: 10_000};
        const y = await bytesPerCall(takeBytes, async () =>
          log.read('config', options),
        );
        points.push({x: models, y});
      }
    },
  );
  return toSlope('log poll bytes', 'bytes', 'model in the record', points);
}

function pageOf(models: number): LogPage {
  const value = {
    kind: 'publish',
    baseVersion: 123_455,
    nonce: 'b8a1f2f0-3c52-4a8e-9d5e-0b7a2d1c9e11',
    publisher: 'operator',
    body: configOf(models),
  };
  const record = {offset: 123_456, appendedAtMs: 1_790_000_000_000, value};
  return {
    firstOffset: 1,
    nextOffset: 123_457,
    nowMs: 1_790_000_000_000,
    records: models === 0 ? [] : [record],
  };
}

type Listener = Parameters<typeof createServer>[1] & object;

async function withRelay(
  listener: Listener,
  work: (port: number, takeBytes: () => number) => Promise<void>,
): Promise<void> {
  const server = createServer(listener);
  await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  const address = server.address();
  const port = typeof address === 'object' && address ? address.port : 0;
  const relay = await startRelay(port);
  try {
    await work(relay.port, relay.takeBytes);
  } finally {
    relay.stop();
    server.close();
    server.closeAllConnections();
  }
}

async function bytesPerCall(
  takeBytes: () => number,
  call: () => Promise<unknown>,
): Promise<number> {
  await call();
  takeBytes();
  for (let done = 0; done < CALLS; done++) await call();
  return takeBytes() / CALLS;
}

function sendJson(res: Parameters<Listener>[1], text: string): void {
  res.writeHead(200, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  res.end(text);
}
