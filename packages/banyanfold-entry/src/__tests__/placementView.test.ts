import type {PlacementView} from '@banyanfold/decisions';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {ServiceTimes} from '../plugins/serviceTimes.js';
import {dieSilently} from './kit/behaviours.js';
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
  await system.start();
});
afterEach(() => system.stop());

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

  // The one runner fails. How long a failure took says nothing of an answer;
  // taken for one, demand would look small and no copy would be made.
  it('learns nothing from a request that failed', async () => {
    system.agents[0]!.otherwise = dieSilently;
    const port = await system.startReadyEntry(PLANNING);
    expect((await post(port, CHAT_PATH)).status).not.toBe(200);
    const seen = views.length;
    await eventually(() => views.length).toBeGreaterThan(seen + 2);
    expect(serviceTimeMs('claims@1')).toBeUndefined();
  });
});

describe('ServiceTimes', () => {
  it('starts at the first answer and smooths the next', () => {
    const times = new ServiceTimes();
    times.note('claims@1', 1_000);
    times.note('claims@1', 2_000);
    expect(times.currentMs('claims@1')).toBe(1_100);
  });
});
