import {afterEach, describe, expect, it} from 'vitest';
import {startTestAgent} from './testAgent.js';

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
});
