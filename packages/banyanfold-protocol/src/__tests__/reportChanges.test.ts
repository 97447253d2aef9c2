import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {initTRPC} from '@trpc/server';
import {afterEach, describe, expect, it} from 'vitest';
import {
  fetchReport,
  applyReportChanges,
  createAgentClient,
  createAgentRouter,
  createControlHandler,
  ReportHistory,
  type AgentReport,
  type ReportChanges,
} from '../index.js';

function reportOf(sequence: number, artifact = 'claims@1'): AgentReport {
  return {
    vmId: 'agent-1',
    incarnation: 3,
    sequence,
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
    copies: [{artifact, bytes: 1, state: 'held', copyId: 'c', idleMs: 5}],
    services: ['lodging'],
    servedCount: {'claims@1': 2},
    cachedPrefixes: ['p'],
  };
}

describe('applyReportChanges', () => {
  const held = reportOf(4);
  const history = new ReportHistory();
  history.observe(held);
  const changes = history.answer(reportOf(5), {
    incarnation: 3,
    sequence: 4,
  }) as ReportChanges;

  it('makes changes whole with the report held', () => {
    expect(applyReportChanges(held, changes)).toEqual(reportOf(5));
  });

  // Each of them would leave a copy list in the view that was never true.
  it.each<[string, AgentReport | undefined, Partial<ReportChanges>]>([
    ['nothing is held', undefined, {}],
    ['another process made them', held, {incarnation: 4}],
    ['the report they build on is newer', held, {sinceSequence: 5}],
    ['they were made before', held, {sequence: 4}],
    ['the number of copies differs', held, {copyIdleMs: []}],
  ])('drops changes if %s', (_name, known, change) => {
    expect(applyReportChanges(known, {...changes, ...change})).toBeUndefined();
  });
});

describe('ReportHistory', () => {
  // Only a fault or a stranger names one; changes since it would be made up.
  it('gives the whole report to one who names a report never made', () => {
    const history = new ReportHistory();
    history.observe(reportOf(4));
    const cursor = {incarnation: 3, sequence: 6};
    expect(history.answer(reportOf(5), cursor)).toEqual(reportOf(5));
  });
});

describe('fetchReport', () => {
  let server: http.Server;

  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  type Router = Parameters<typeof createControlHandler>[0]['router'];

  /** A router made by trpc here has a type of its own, and the same shape. */
  async function clientOf(anyRouter: unknown) {
    const router = anyRouter as Router;
    server = http.createServer(createControlHandler({router, keys: ['k']}));
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = server.address() as AddressInfo;
    return createAgentClient({host: '127.0.0.1', port, internalKey: 'k'});
  }

  const unused = () => Promise.reject(new Error('not served here'));

  it('gets the whole report at first, and then what changed', async () => {
    const history = new ReportHistory();
    let sequence = 0;
    const make = () => reportOf(++sequence);
    const client = await clientOf(
      createAgentRouter({
        report: async () => make(),
        reportSince: async cursor => history.answer(make(), cursor),
        seal: unused,
        propose: unused,
        drain: unused,
      }),
    );
    expect(await fetchReport(client, undefined)).toEqual(reportOf(1));
    const held = {incarnation: 3, sequence: 1};
    const changes = await fetchReport(client, held);
    expect(changes).toMatchObject({sequence: 2, sinceSequence: 1});
    expect(changes).not.toHaveProperty('copies');
    expect(await client.report.query()).toEqual(reportOf(3));
  });

  // While a release goes out, some agents are older than the entries. An entry
  // that took their refusal for a failure would have no copies to route to.
  it('gets the whole report of an agent that is older', async () => {
    const t = initTRPC.create();
    const client = await clientOf(
      t.router({report: t.procedure.query(() => reportOf(9))}),
    );
    const held = {incarnation: 3, sequence: 1};
    expect(await fetchReport(client, held)).toEqual(reportOf(9));
  });
});
