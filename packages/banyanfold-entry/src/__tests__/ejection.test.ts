import {MemoryLogger, Metrics, VirtualClock} from '@banyanfold/core';
import type {Vm} from '@banyanfold/log';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import type {EntryContext} from '../context.js';
import {ejectionPlugin} from '../plugins/ejection.js';
import {ClusterView} from '../view/clusterView.js';
import {answerWhole, runThenDropConnection} from './kit/behaviours.js';
import {eventually} from './kit/eventually.js';
import {TestSystem, post} from './kit/testSystem.js';

const CHAT_PATH = '/v1/chat/completions';

const system = new TestSystem();

beforeAll(() => system.start(4));
afterAll(() => system.stop());

describe('the ejection plug-in', () => {
  // One of four agents fails every request. Retries on other agents succeed,
  // but they add latency and spend the retry budget, so the agent is ejected
  // for a while. If it is the only one that holds the model, it is used
  // nevertheless.
  it('ejects a failing runner, unless it alone holds the model', async () => {
    const port = await system.startReadyEntry({
      ejectionIntervalMs: 50,
      retry: {budgetMaxTokens: 1_000},
    });
    const [failing, ...others] = system.agents;
    failing!.fallback = runThenDropConnection;
    const isEjected = async () => {
      const calls = Array.from({length: 8}, () => post(port, CHAT_PATH));
      await Promise.all(calls);
      return system.logLines.some(line =>
        line.includes('event=runner-ejected'),
      );
    };
    await eventually(isEjected).toBe(true);
    const ejections = system.logLines.filter(line => line.includes('ejected'));
    expect(ejections[0]).toContain('agent=agent-1 reason="fails ');
    failing!.calls.length = 0;
    for (let i = 0; i < 8; i++) await post(port, CHAT_PATH);
    expect(failing!.calls).toHaveLength(0);
    for (const agent of others) agent.artifacts = [];
    failing!.fallback = answerWhole;
    await eventually(() => failing!.calls.length || post(port, CHAT_PATH)).toBe(
      1,
    );
  });

  // Guards against ejecting healthy runners of a slower role. Drafts take long
  // to their first token, so a drafting runner looks slow beside desk runners.
  // Its drafts would then be refused or overload its peers.
  it('compares a runner with those of its role', async () => {
    const {clock, logger, plugin, addRunner} = createEjection();
    for (let i = 1; i <= 5; i++) addRunner(`desk-${i}`, 'desk', 100);
    for (let i = 1; i <= 3; i++) addRunner(`draft-${i}`, 'drafting', 2_000);
    addRunner('desk-6', 'desk', 900);
    await plugin.start?.();
    await clock.advance(1);
    await plugin.stop?.();
    expect(logger.lines).toEqual([
      expect.stringContaining('agent=desk-6 reason="slow: 900ms, peers 100ms"'),
    ]);
  });
});

/** Creates the plug-in and a function that adds runners with set outcomes. */
function createEjection() {
  const clock = new VirtualClock();
  const logger = new MemoryLogger();
  const location = {vmId: 'entry-1', failureDomain: 'a', region: 'r'};
  const view = new ClusterView(location);
  const vms: Vm[] = [];
  const plugin = ejectionPlugin({
    clock,
    logger,
    metrics: new Metrics(),
    random: () => 0.5,
    settings: {ejectionIntervalMs: 2_000, outcomeHalfLifeMs: 15_000},
    view,
  } as unknown as EntryContext);
  const addRunner = (vmId: string, role: string, firstTokenMs: number) => {
    const address = {
      host: '127.0.0.1',
      port: 1,
      failureDomain: 'a',
      region: 'r',
    };
    vms.push({vmId, role: 'agent', state: 'live', ...address});
    view.applyVmList({asOfMs: vms.length, vms});
    const agent = view.agent(vmId)!;
    agent.runner.runnerRole = role;
    agent.recordFirstToken(firstTokenMs);
    for (let i = 0; i < 10; i++) agent.recordSuccess();
  };
  return {clock, logger, plugin, addRunner};
}
