import type {PlacementView} from '@banyanfold/decisions';
import {rendezvousOrder} from '@banyanfold/log';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {ServiceTimes} from '../plugins/serviceTimes.js';
import {runThenDropConnection} from './kit/behaviours.js';
import {eventually} from './kit/eventually.js';
import {TestSystem, post} from './kit/testSystem.js';

const CHAT_PATH = '/v1/chat/completions';
const PLANNING = {planner: {enabled: true, intervalMs: 20}};

const views: PlacementView[] = [];
vi.mock('@banyanfold/decisions', async importOriginal => ({
  ...(await importOriginal<object>()),
  decidePlacement: (view: PlacementView) => {
    views.push(view);
    return {moves: [], unplaced: []};
  },
}));

let system: TestSystem;

beforeEach(async () => {
  views.length = 0;
  system = new TestSystem();
  await system.start(2);
});
afterEach(() => system.stop());

function waiting(artifact: string): number[] {
  return views.map(
    ({artifacts}) =>
      artifacts.find(other => other.artifact === artifact)!.waiting,
  );
}

function serviceTimeMs(artifact: string): number | undefined {
  const {artifacts} = views.at(-1)!;
  return artifacts.find(other => other.artifact === artifact)!.serviceTimeMs;
}

describe('placementView', () => {
  it('includes the service time of an artifact after its first answer', async () => {
    const port = await system.startReadyEntry(PLANNING);
    await eventually(() => views.length).toBeGreaterThan(0);
    expect(serviceTimeMs('claims@1')).toBeUndefined();
    expect((await post(port, CHAT_PATH)).status).toBe(200);
    await eventually(() => serviceTimeMs('claims@1')).toBeTypeOf('number');
    expect(serviceTimeMs('hidden@1')).toBeUndefined();
  });

  // Two runners have the same load; one has few slots, the other is of an
  // earlier release and doesn't report them. Treated alike, the small one would
  // seem to have capacity and get copies that it can't serve.
  it('includes how many requests a runner runs concurrently', async () => {
    system.agents[0]!.maxRunning = 3;
    await system.startReadyEntry(PLANNING);
    await eventually(() => views.length).toBeGreaterThan(0);
    const runners = views
      .at(-1)!
      .runners.map(runner => [runner.vmId, runner.maxRunning]);
    expect(runners).toEqual([
      ['agent-1', 3],
      ['agent-2', undefined],
    ]);
  });

  // The time of a failure says nothing about the time of an answer. Counted as
  // a service time, it would make demand look small, and no copy would be
  // loaded.
  it('records no service time for a failed request', async () => {
    for (const agent of system.agents) agent.fallback = runThenDropConnection;
    const port = await system.startReadyEntry(PLANNING);
    expect((await post(port, CHAT_PATH)).status).not.toBe(200);
    const seen = views.length;
    await eventually(() => views.length).toBeGreaterThan(seen + 2);
    expect(serviceTimeMs('claims@1')).toBeUndefined();
  });
});

describe('the planner plug-in', () => {
  // Requests for an artifact without a copy arrive at an entry that isn't the
  // planner. The planner must fetch these misses, but not the full status with
  // a row per runner, which is too large to fetch from each entry every second.
  it('fetches the misses of its peers, and nothing else', async () => {
    for (const agent of system.agents) agent.artifacts = [];
    const [first, second] = rendezvousOrder('planner', ['entry-1', 'entry-2']);
    const peerPort = await system.startReadyEntry({vmId: second!});
    const {handlers} = system.entries[0]!.entry;
    const status = vi.spyOn(handlers, 'status');
    const misses = vi.spyOn(handlers, 'misses');
    await system.startReadyEntry({...PLANNING, vmId: first!});
    await eventually(() => misses.mock.calls.length).toBeGreaterThan(1);
    await post(peerPort, CHAT_PATH);
    await eventually(() => waiting('claims@1')).toContain(1);
    expect(status).not.toHaveBeenCalled();
  });

  // A request is refused at a standby entry, and the planner fetches that miss.
  // When the standby takes over, perhaps hours later, no caller waits any more;
  // the old miss must not give that model priority over others.
  it('discards old misses before it takes over', async () => {
    for (const agent of system.agents) agent.artifacts = [];
    const [first, second] = rendezvousOrder('planner', ['entry-1', 'entry-2']);
    await system.startReadyEntry({...PLANNING, vmId: first!});
    const port = await system.startReadyEntry({...PLANNING, vmId: second!});
    const {handlers} = system.entries[1]!.entry;
    const misses = vi.spyOn(handlers, 'misses');
    await eventually(() => misses.mock.calls.length).toBeGreaterThan(1);
    await post(port, CHAT_PATH);
    await eventually(() => waiting('claims@1')).toContain(1);
    system.entryVms.shift();
    await system.entries.shift()!.entry.stop();
    const before = views.length;
    await eventually(() => views.length).toBeGreaterThan(before);
    expect(waiting('claims@1').filter(count => count > 0)).toEqual([1]);
  });
});

describe('ServiceTimes', () => {
  it('starts with the first sample and smooths later ones', () => {
    const times = new ServiceTimes();
    times.record('claims@1', 1_000);
    times.record('claims@1', 2_000);
    expect(times.currentMs('claims@1')).toBe(1_100);
  });
});
