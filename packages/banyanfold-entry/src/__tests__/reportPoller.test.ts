import {MemoryLogger, VirtualClock} from '@banyanfold/core';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import type {EntrySettings} from '../settings.js';
import {AgentClients} from '../view/agentClients.js';
import {ClusterView} from '../view/clusterView.js';
import {ReportPoller} from '../view/reportPoller.js';
import {FakeAgent, INTERNAL_KEY} from './kit/fakeAgent.js';

const SETTINGS = {
  internalKey: INTERNAL_KEY,
  unreachableAfter: 3,
} as EntrySettings;
const TIMEOUT_MS = 5_000;

describe('ReportPoller', () => {
  const agent = new FakeAgent('agent-1');

  beforeEach(() => agent.start());
  afterEach(() => agent.stop());

  function createPoller() {
    const view = new ClusterView({
      vmId: 'entry-1',
      failureDomain: 'a',
      region: 'r',
    });
    view.applyVmList({asOfMs: 1, vms: [agent.vm()]});
    const clock = new VirtualClock();
    const logger = new MemoryLogger();
    const poller = new ReportPoller(
      {settings: SETTINGS, clock, logger, view},
      new AgentClients(SETTINGS, TIMEOUT_MS),
    );
    return {poller, state: view.agent('agent-1')!};
  }

  // A copy is removed between two polls; the next changes must include that.
  it('sends the cursor of its last report, and applies changed copies', async () => {
    const {poller, state} = createPoller();
    await poller.pollAll();
    expect([...state.runner.artifacts]).toEqual(['claims@1', 'lodging']);
    await poller.pollAll();
    expect([...state.runner.artifacts]).toEqual(['claims@1', 'lodging']);
    agent.artifacts = ['letters@2'];
    await poller.pollAll();
    expect([...state.runner.artifacts]).toEqual(['letters@2', 'lodging']);
    expect(agent.cursors).toEqual([
      undefined,
      {incarnation: 7, sequence: 1},
      {incarnation: 7, sequence: 2},
    ]);
  });
});
