import {setTimeout as pause} from 'node:timers/promises';
import {afterEach, describe, expect, it} from 'vitest';
import {framesOf, sendFrames} from './kit/behaviours.js';
import {eventually} from './kit/eventually.js';
import {CALLER_KEY, CHAT, TestSystem} from './kit/testSystem.js';

/** Exceeds what the buffers of both connections hold. */
const LONG_WORDS = Array.from({length: 400}, () => 'x'.repeat(50_000));
const STREAM_IDLE_MS = 50;

let system: TestSystem;

afterEach(() => system.stop());

async function openStream(callerStallMs: number): Promise<Response> {
  system = new TestSystem();
  await system.start();
  const port = await system.startReadyEntry({
    limits: {callerStallMs},
    attempts: {streamIdleMs: STREAM_IDLE_MS},
  });
  system.next.push(sendFrames(call => framesOf(call, LONG_WORDS)));
  return fetch(`http://127.0.0.1:${port}/v1/chat/completions`, {
    method: 'POST',
    headers: {authorization: `Bearer ${CALLER_KEY}`},
    body: JSON.stringify({...CHAT, stream: true}),
  });
}

describe('createEntry, callers that read slowly', () => {
  // While its caller doesn't read, the entry doesn't read from the agent. Such
  // an agent must not count as idle, or its stream would be broken off.
  it('sends the whole answer to a caller that paused', async () => {
    const response = await openStream(60_000);
    await pause(5 * STREAM_IDLE_MS);
    const text = await response.text();
    expect(text.split('\n\n')).toHaveLength(LONG_WORDS.length + 2);
    expect(text.endsWith('data: [DONE]\n\n')).toBe(true);
    expect(system.takeCounts().resumes).toBe(0);
  });

  // A stalled caller would hold the memory of its answer and an accelerator
  // slot.
  it('disconnects a stalled caller and stops its attempt', async () => {
    await openStream(STREAM_IDLE_MS);
    const [agent] = system.agents;
    await eventually(() => agent!.sealed.length).toBe(1);
    await eventually(() => agent!.calls[0]!.socket.destroyed).toBe(true);
    await eventually(() => system.logLines.join('\n')).toContain(
      'result=caller-gone',
    );
  });
});
