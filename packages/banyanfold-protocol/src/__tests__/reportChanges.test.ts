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

  it('applies changes to the held report', () => {
    expect(applyReportChanges(held, changes)).toEqual(reportOf(5));
  });

  // Applying any of these would leave a list of copies that never existed.
  it.each<[string, AgentReport | undefined, Partial<ReportChanges>]>([
    ['no report is held', undefined, {}],
    ['another process created them', held, {incarnation: 4}],
    ['they are relative to a newer report', held, {sinceSequence: 5}],
    ['they are no newer than the held report', held, {sequence: 4}],
    ['the number of copies differs', held, {copyIdleMs: []}],
  ])('drops changes if %s', (_name, known, change) => {
    expect(applyReportChanges(known, {...changes, ...change})).toBeUndefined();
  });
});

describe('ReportHistory', () => {
  // Only a faulty or foreign client sends such a cursor; there are no valid
  // changes.
  it('returns the full report for a cursor of a future report', () => {
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

  /** Routers created in tests differ in type, but not in shape. */
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

  it('fetches the full report first, then changes', async () => {
    const history = new ReportHistory();
    let sequence = 0;
    const createReport = () => reportOf(++sequence);
    const client = await clientOf(
      createAgentRouter({
        report: async () => createReport(),
        reportSince: async cursor => history.answer(createReport(), cursor),
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

  // During a rolling upgrade some agents are older than the entries. An entry
  // that treated the missing procedure as a failure would have no copies to
  // route to.
  it('fetches the full report from an agent of an earlier release', async () => {
    const t = initTRPC.create();
    const client = await clientOf(
      t.router({report: t.procedure.query(() => reportOf(9))}),
    );
    const held = {incarnation: 3, sequence: 1};
    expect(await fetchReport(client, held)).toEqual(reportOf(9));
  });
});
