import {afterEach, describe, expect, it} from 'vitest';
import {startTestAgent, until} from './testAgent.js';

describe('LoadReporter', () => {
  const stops: Array<() => Promise<void>> = [];
  afterEach(async () => {
    for (const stop of stops.splice(0)) await stop();
  });

  it('reports the maximum of concurrent requests', async () => {
    const {client, stop} = await startTestAgent({settings: {maxRunning: 3}});
    stops.push(stop);
    expect((await client.report.query()).maxRunning).toBe(3);
  });

  // If a newly started agent reported itself as ready before it knew the KV
  // cache use, it would refuse the requests that entries send to it.
  it('reports that it is leaving until the KV cache use is known', async () => {
    // The reports lag longer than the agent's start waits for a current one.
    const {client, stop} = await startTestAgent({engine: {reportLagMs: 2_400}});
    stops.push(stop);
    const first = await client.report.query();
    expect(first).toMatchObject({leaving: true});
    await until(async () => !(await client.report.query()).leaving);
  });
});
