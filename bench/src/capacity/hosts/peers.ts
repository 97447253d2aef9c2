import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
} from 'node:http';
import {
  createAgentRouter,
  createControlHandler,
  HEADERS,
  PATHS,
  type AgentReport,
} from '@banyanfold/protocol';
import {reportOf, vmListOf} from '../fixtures.js';
import type {HostAnswer, PeerOptions} from './hostMessages.js';

const HOST = '127.0.0.1';

type Served = Record<string, number>;

/** Starts a VM list, whose port is answered, and the agents it lists. */
export async function startPeers(
  options: PeerOptions,
  served: Served,
): Promise<HostAnswer> {
  const ports: number[] = [];
  for (let index = 0; index < options.agents; index++) {
    ports.push(await listen(agentListener(index, options, served)));
  }
  const list = vmListOf(0, options.agents);
  for (const [index, vm] of list.vms.entries()) {
    vm.host = HOST;
    vm.port = ports[index]!;
  }
  list.vms.push(...vmListOf(options.otherVms, 0).vms);
  const body = JSON.stringify(list);
  const port = await listen((_req, res) => {
    count(served, 'vm-list');
    sendJson(res, body);
  });
  return {port};
}

function agentListener(
  index: number,
  options: PeerOptions,
  served: Served,
): RequestListener {
  const report = reportOf(index, options.report);
  const unused = () => Promise.reject(new Error('not served here'));
  const control = createControlHandler({
    router: createAgentRouter({
      report: async () => {
        count(served, 'report');
        report.sequence++;
        return report;
      },
      seal: async () => ({state: 'unknown'}),
      propose: unused,
      drain: unused,
    }),
    keys: [options.internalKey],
  });
  return (req, res) => {
    if (!req.url?.startsWith(PATHS.attempt)) return control(req, res);
    count(served, 'attempt');
    req.resume().once('end', () => streamAnswer(req, res, options, report));
  };
}

/** One event at a time, as an engine makes them. */
function streamAnswer(
  req: IncomingMessage,
  res: ServerResponse,
  {tokens, tokenIntervalMs}: PeerOptions,
  report: AgentReport,
): void {
  const attemptId = String(req.headers[HEADERS.attemptId]);
  const requestId = String(req.headers[HEADERS.requestId]);
  report.sequence++;
  res.writeHead(200, {
    'content-type': 'text/event-stream',
    [HEADERS.attemptId]: attemptId,
    [HEADERS.load]: JSON.stringify(digestOf(report)),
  });
  let seq = 0;
  const timer = setInterval(() => {
    seq++;
    const id = `id: ${attemptId}/${seq}\n`;
    if (seq <= tokens) {
      res.write(`${id}data: ${chunkOf(requestId, seq)}\n\n`);
      return;
    }
    clearInterval(timer);
    res.end(`${id}data: [DONE]\n\n`);
  }, tokenIntervalMs);
  res.once('close', () => clearInterval(timer));
}

function chunkOf(requestId: string, seq: number): string {
  return JSON.stringify({
    id: `chatcmpl-${requestId}`,
    object: 'chat.completion.chunk',
    created: 1_790_000_000,
    model: 'model-0001',
    choices: [{index: 0, delta: {content: ` word${seq}`}, finish_reason: null}],
  });
}

function digestOf(report: AgentReport) {
  const {incarnation, sequence, running, queued, leaving} = report;
  const {kvUsedBytes, kvCapacityBytes, queueDelayMs} = report;
  return {
    incarnation,
    sequence,
    running,
    queued,
    kvUsedBytes,
    kvCapacityBytes,
    queueDelayMs,
    leaving,
  };
}

function count(served: Served, kind: string): void {
  served[kind] = (served[kind] ?? 0) + 1;
}

async function listen(listener: RequestListener): Promise<number> {
  const server: Server = createServer(listener);
  await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  const address = server.address();
  return typeof address === 'object' && address ? address.port : 0;
}

function sendJson(res: ServerResponse, body: string): void {
  res.writeHead(200, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  res.end(body);
}
