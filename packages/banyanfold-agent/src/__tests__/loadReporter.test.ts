import {afterEach, describe, expect, it} from 'vitest';
import {startTestAgent, until} from './testAgent.js';

describe('LoadReporter', () => {
  const stops: Array<() => Promise<void>> = [];
  afterEach(async () => {
    for (const stop of stops.splice(0)) await stop();
  });

  it('reports how many requests its runner runs at once', async () => {
    const {client, stop} = await startTestAgent({settings: {maxRunning: 3}});
    stops.push(stop);
    expect((await client.report.query()).maxRunning).toBe(3);
  });

  // Guards against callers refused by an agent that started a moment ago.
  it('asks for no requests until it knows the memory of its engine', async () => {
    // The engine's reports are older than the agent, and than its wait for one.
    const {client, stop} = await startTestAgent({engine: {reportLagMs: 2_400}});
    stops.push(stop);
    const first = await client.report.query();
    expect(first).toMatchObject({leaving: true});
    await until(async () => !(await client.report.query()).leaving);
  });
});
