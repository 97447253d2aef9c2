import {MemoryLogger, VirtualClock} from '@banyanfold/core';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import type {EntrySettings} from '../settings.js';
import {AgentClients} from '../view/agentClients.js';
import type {AgentState} from '../view/agentState.js';
import {ClusterView} from '../view/clusterView.js';
import {ReportPoller} from '../view/reportPoller.js';
import {FakeAgent, INTERNAL_KEY} from './kit/fakeAgent.js';

const SETTINGS = {
  internalKey: INTERNAL_KEY,
  unreachableAfter: 3,
  reportIntervalMs: 500,
} as EntrySettings;
const TIMEOUT_MS = 5_000;

describe('ReportPoller', () => {
  const agent = new FakeAgent('agent-1');

  beforeEach(() => agent.start());
  afterEach(() => agent.stop());

  function createPoller(random = () => 0.5) {
    const view = new ClusterView({
      vmId: 'entry-1',
      failureDomain: 'a',
      region: 'r',
    });
    view.applyVmList({asOfMs: 1, vms: [agent.vm()]});
    const clock = new VirtualClock();
    const logger = new MemoryLogger();
    const poller = new ReportPoller(
      {settings: SETTINGS, clock, logger, view, random},
      new AgentClients(SETTINGS, TIMEOUT_MS),
    );
    const tick = async () => {
      await clock.advance(SETTINGS.reportIntervalMs);
      await poller.pollAll();
    };
    return {poller, view, tick, state: view.agent('agent-1')!};
  }

  // A copy goes while the entry polls on. Its next answer has to say so.
  it('names the report it holds, and sees copies come and go', async () => {
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

  // A rack goes. Every entry asks each agent in it twice a second until the VM
  // list drops them, and all come at once when it is back. The first polls keep
  // their pace, so that routing leaves the agent out as soon as before.
  it('asks an agent that stays away less often, but for a bound', async () => {
    const {tick, state} = createPoller(() => 0.999);
    await tick();
    await agent.stop();
    for (let ticks = 0; ticks < 3; ticks++) await tick();
    expect(state.runner.reachable).toBe(false);
    for (let ticks = 0; ticks < 80; ticks++) await tick();
    // After 2 and 4 ticks, and then each 8 ticks.
    expect(state.failedReports).toBe(3 + 2 + 9);
    await agent.start(agent.port);
    for (let ticks = 0; ticks < 8; ticks++) await tick();
    expect(state.runner.reachable).toBe(true);
    const asked = agent.cursors.length;
    await tick();
    expect(agent.cursors).toHaveLength(asked + 1);
  });

  it.each<[string, (state: AgentState, view: ClusterView) => void]>([
    [
      'answered a request',
      state => void state.applyDigest({...agent.digest(), sequence: 99}, 0),
    ],
    [
      'has another address',
      (_state, view) => {
        const moved = {...agent.vm(), host: 'localhost'};
        view.applyVmList({asOfMs: 2, vms: [moved]});
      },
    ],
  ])('asks at once an agent that %s', async (_name, comeBack) => {
    const {tick, state, view} = createPoller(() => 0.999);
    await tick();
    await agent.stop();
    for (let ticks = 0; ticks < 12; ticks++) await tick();
    await agent.start(agent.port);
    const asked = agent.cursors.length;
    comeBack(state, view);
    await tick();
    expect(agent.cursors).toHaveLength(asked + 1);
  });
});
