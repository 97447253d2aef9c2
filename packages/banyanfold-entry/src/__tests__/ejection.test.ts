import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {answerWhole, dieSilently} from './kit/behaviours.js';
import {eventually} from './kit/eventually.js';
import {TestSystem, post} from './kit/testSystem.js';

const CHAT_PATH = '/v1/chat/completions';

const system = new TestSystem();

beforeAll(() => system.start(4));
afterAll(() => system.stop());

describe('the ejection plug-in', () => {
  // One agent of four fails every request it is sent. Callers get their answer
  // from another, but late, and the retries eat the budget; so it is left out
  // for a while. When it alone holds the model, it is used all the same.
  it('leaves out a failing runner, unless it alone holds the model', async () => {
    const port = await system.startReadyEntry({
      ejectionIntervalMs: 50,
      retry: {budgetMaxTokens: 1_000},
    });
    const [failing, ...others] = system.agents;
    failing!.otherwise = dieSilently;
    const isEjected = async () => {
      const calls = Array.from({length: 8}, () => post(port, CHAT_PATH));
      await Promise.all(calls);
      return system.lines.some(line => line.includes('event=runner-ejected'));
    };
    await eventually(isEjected).toBe(true);
    const ejections = system.lines.filter(line => line.includes('ejected'));
    expect(ejections[0]).toContain('agent=agent-1 reason="fails ');
    failing!.calls.length = 0;
    for (let i = 0; i < 8; i++) await post(port, CHAT_PATH);
    expect(failing!.calls).toHaveLength(0);
    for (const agent of others) agent.artifacts = [];
    failing!.otherwise = answerWhole;
    await eventually(() => failing!.calls.length || post(port, CHAT_PATH)).toBe(
      1,
    );
  });
});
