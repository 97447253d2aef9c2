import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {v7 as uuidV7} from 'uuid';
import {
  answerJson,
  dropConnection,
  framesOf,
  refuse,
  sendFrames,
} from './kit/behaviours.js';
import {eventually} from './kit/eventually.js';
import {TestSystem, post} from './kit/testSystem.js';

const CHAT_PATH = '/v1/chat/completions';
const UUID = /[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}/g;

const system = new TestSystem();
let port = 0;

beforeAll(async () => {
  await system.start(1);
  port = await system.startReadyEntry();
});
afterAll(() => system.stop());

/** The log lines of the session with ids numbered and times masked. */
function normalizedLog(): string {
  const ids = new Map<string, string>();
  const placeholderFor = (id: string) => {
    if (!ids.has(id)) ids.set(id, `id-${ids.size + 1}`);
    return ids.get(id)!;
  };
  return system.logLines
    .filter(line => !/plugin-started|config-in-force/.test(line))
    .map(line => line.replace(UUID, placeholderFor))
    .map(line => line.replace(/(tookMs|delayMs)=\d+/g, '$1=N'))
    .map(line => line.replace(/:\d+:(wait|chosen)/g, ':N:$1'))
    .join('\n');
}

describe('createEntry, the log of a session', () => {
  // Operators rely on one line for each routing decision, attempt, retry,
  // resume and request to find out why a request was routed as it was.
  it('contains each decision and its reason', async () => {
    const stream = JSON.stringify({
      model: 'claims',
      stream: true,
      messages: [],
    });
    await post(port, CHAT_PATH);
    await post(port, CHAT_PATH, {body: stream});
    system.next.push(refuse('busy', 429, 'not-run', 700));
    await post(port, CHAT_PATH);
    system.next.push(
      sendFrames(call => framesOf(call).slice(0, 2), dropConnection),
    );
    await post(port, CHAT_PATH, {body: stream});
    system.next.push(call => answerJson(call, '{"receipt":17}'));
    await post(port, '/services/lodging/claims', {
      headers: {'idempotency-key': uuidV7()},
      body: '{"claim":1}',
    });
    await post(port, CHAT_PATH, {body: '{"model":"nothing"}'});
    system.agents[0]!.artifacts = [];
    await eventually(async () => {
      const {agents} = await system.entries[0]!.entry.handlers.status();
      return agents[0]!.artifacts;
    }).toEqual(['lodging']);
    await post(port, CHAT_PATH);
    await system.entries[0]!.entry.drain();
    expect(normalizedLog()).toMatchSnapshot();
  });
});
