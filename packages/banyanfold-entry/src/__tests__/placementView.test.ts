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
  it('tells how long answers of an artifact take, once one was', async () => {
    const port = await system.startReadyEntry(PLANNING);
    await eventually(() => views.length).toBeGreaterThan(0);
    expect(serviceTimeMs('claims@1')).toBeUndefined();
    expect((await post(port, CHAT_PATH)).status).toBe(200);
    await eventually(() => serviceTimeMs('claims@1')).toBeTypeOf('number');
    expect(serviceTimeMs('hidden@1')).toBeUndefined();
  });

  // Two runners with the same load, one with few slots and one of an earlier
  // release, which doesn't say. Taken for alike, the small one would seem to
  // have room, and get copies it can't serve.
  it('tells how many requests a runner runs at once', async () => {
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

  // Both runners fail. How long a failure took says nothing of an answer;
  // taken for one, demand would look small and no copy would be made.
  it('learns nothing from a request that failed', async () => {
    for (const agent of system.agents) agent.fallback = runThenDropConnection;
    const port = await system.startReadyEntry(PLANNING);
    expect((await post(port, CHAT_PATH)).status).not.toBe(200);
    const seen = views.length;
    await eventually(() => views.length).toBeGreaterThan(seen + 2);
    expect(serviceTimeMs('claims@1')).toBeUndefined();
  });
});

describe('the planner plug-in', () => {
  // Callers reach another entry than the one that plans, and ask for what no
  // runner holds. The planner must hear of them; but the whole status, with a
  // line for each runner, is too much to ask of each entry each second.
  it('hears of misses at its peers, and asks for nothing else', async () => {
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

  // A caller is refused at an entry that stands by, and the planner hears of it.
  // When the planner goes and the other takes over, perhaps hours later, nobody
  // waits any more; the refusal must not send that model before the others.
  it('forgets old misses before it takes over', async () => {
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
  it('starts at the first answer and smooths the next', () => {
    const times = new ServiceTimes();
    times.record('claims@1', 1_000);
    times.record('claims@1', 2_000);
    expect(times.currentMs('claims@1')).toBe(1_100);
  });
});
