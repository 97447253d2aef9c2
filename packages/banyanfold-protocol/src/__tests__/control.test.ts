import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {
  createAgentClient,
  createAgentRouter,
  createControlHandler,
  entryStatusSchema,
  type AgentHandlers,
  type AgentReport,
  type Proposal,
} from '../index.js';

const REPORT: AgentReport = {
  vmId: 'agent-1',
  incarnation: 3,
  sequence: 1,
  running: 0,
  queued: 0,
  kvUsedBytes: 0,
  kvCapacityBytes: 1,
  queueDelayMs: 0,
  leaving: false,
  failureDomain: 'a',
  region: 'r',
  runnerRole: '',
  configVersion: 1,
  memoryCapacityBytes: 1,
  memoryFreeBytes: 1,
  checksFencing: true,
  copies: [],
  services: [],
  servedCount: {'claims@1': 2},
  cachedPrefixes: [],
};

let server: http.Server;
const calls: unknown[] = [];

afterEach(() => {
  calls.length = 0;
  server.closeAllConnections();
  server.close();
});

async function serve(change: Partial<AgentHandlers> = {}) {
  const router = createAgentRouter({
    report: async () => REPORT,
    seal: async (...given) => {
      calls.push(given);
      return {state: 'never-started'};
    },
    propose: async proposal => {
      calls.push(proposal);
      return {accepted: true, reason: 'reserved'};
    },
    drain: async () => ({running: 1}),
    ...change,
  });
  const control = createControlHandler({
    router,
    keys: ['internal', 'operator'],
  });
  server = http.createServer(control);
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  return (internalKey: string) =>
    createAgentClient({host: '127.0.0.1', port, internalKey});
}

const PROPOSAL: Proposal = {
  proposalId: 'p',
  plannerEpoch: 4,
  kind: 'load',
  artifact: 'claims@1',
  bytes: 5,
  runnerRole: '',
  reliesOnCopyIds: [],
};

describe('createControlHandler', () => {
  it.each(['internal', 'operator'])('accepts the %s key', async key => {
    const clientOf = await serve();
    expect(await clientOf(key).report.query()).toEqual(REPORT);
  });

  it.each(['', 'Internal', 'internals', 'wrong'])(
    'rejects the key "%s"',
    async key => {
      const clientOf = await serve();
      const client = clientOf(key);
      await expect(client.report.query()).rejects.toThrow();
      await expect(client.propose.mutate(PROPOSAL)).rejects.toThrow();
      expect(calls).toEqual([]);
    },
  );

  // An entry would read a missing field as zero. A runner that seems to have no
  // load would then receive all requests, and one that seems to have no copies
  // none.
  it('answers with an error if a report is incomplete', async () => {
    const {copies: _copies, ...partial} = REPORT;
    const report = async () => partial as AgentReport;
    const clientOf = await serve({report});
    await expect(clientOf('internal').report.query()).rejects.toThrow();
  });
});

describe('createAgentClient', () => {
  it.each([
    [{attemptId: 'a', incarnation: 3}, ['a', 3]],
    [{attemptId: 'a'}, ['a', undefined]],
  ])('seals %o', async (input, expected) => {
    const clientOf = await serve();
    const sealed = await clientOf('internal').seal.mutate(input);
    expect(sealed).toEqual({state: 'never-started'});
    expect(calls).toEqual([expected]);
  });

  it('sends a proposal unchanged', async () => {
    const clientOf = await serve();
    await clientOf('internal').propose.mutate(PROPOSAL);
    expect(calls).toEqual([PROPOSAL]);
  });

  // A call to a peer that never answers must end, or its caller would wait
  // forever.
  it('times out on a peer that never answers', async () => {
    await serve({report: () => new Promise(() => {})});
    const {port} = server.address() as AddressInfo;
    const host = '127.0.0.1';
    const internalKey = 'internal';
    const client = createAgentClient({host, port, internalKey, timeoutMs: 30});
    await expect(client.report.query()).rejects.toThrow();
  });
});

describe('entryStatusSchema', () => {
  it('accepts a status from a release without missed counts', () => {
    const status = entryStatusSchema.parse({
      vmId: 'entry-1',
      failureDomain: 'a',
      configVersion: 1,
      ready: true,
      leaving: false,
      openRequests: 0,
      plannerEpoch: 0,
      agents: [],
    });
    expect(status.missedCount).toEqual({});
  });
});
