import {expectedText, renderPrompt} from '@banyanfold/standins';
import {afterEach, describe, expect, it} from 'vitest';
import {
  chatBody,
  MODEL,
  readFrames,
  readUntilCut,
  sendAttempt,
  startTestAgent,
  until,
} from './testAgent.js';

const GIB = 1024 ** 3;
const PROMPT = renderPrompt([
  {role: 'user', content: 'is the member eligible?'},
]);

describe('createAgent', () => {
  const stops: Array<() => Promise<void>> = [];
  afterEach(async () => {
    for (const stop of stops.splice(0)) await stop();
  });

  async function start(options: Parameters<typeof startTestAgent>[0] = {}) {
    const started = await startTestAgent(options);
    stops.push(started.stop);
    return started;
  }

  it('streams a complete attempt with the ids from the entry', async () => {
    const target = await start();
    const {attemptId, requestId, response} = await sendAttempt(target);
    expect(response.statusCode).toBe(200);
    const {text, cut} = await readUntilCut(response.body);
    const frames = readFrames(text);
    expect(cut).toBe(false);
    expect(frames.done).toBe(true);
    expect(frames.content).toBe(expectedText(MODEL, PROMPT, 8));
    expect([...frames.chunkIds]).toEqual([`chatcmpl-${requestId}`]);
    expect(frames.ids).toEqual(
      frames.ids.map((_, index) => `${attemptId}/${index + 1}`),
    );
  });

  it('answers a request without streaming in one response', async () => {
    const target = await start();
    const {requestId, response} = await sendAttempt(target, {
      body: chatBody({stream: false}),
    });
    const answer = (await response.body.json()) as {
      id: string;
      choices: Array<{message: {content: string}}>;
    };
    expect(answer.id).toBe(`chatcmpl-${requestId}`);
    expect(answer.choices[0]?.message.content).toBe(
      expectedText(MODEL, PROMPT, 8),
    );
  });

  it('reports the loaded copies and loads a proposed copy', async () => {
    const target = await start();
    await until(() =>
      target.agent.handlers.report().then(r => r.memoryFreeBytes > 0),
    );
    await until(async () => {
      const result = await target.client.propose.mutate({
        proposalId: `p-${Math.random()}`,
        plannerEpoch: 1,
        kind: 'load',
        artifact: 'letters@2',
        bytes: 8 * GIB,
      });
      return result.accepted;
    });
    await until(async () => {
      const {copies} = await target.client.report.query();
      return copies.some(c => c.artifact === 'letters@2' && c.state === 'held');
    });
    const {copies, incarnation} = await target.client.report.query();
    expect(copies.map(({artifact, state}) => `${artifact} ${state}`)).toEqual([
      'claims@1 held',
      'letters@2 held',
    ]);
    expect(incarnation).toBe(1);
  });

  // An entry whose last report predates a load must receive the new copy. An
  // entry that is up to date needs no list of copies.
  it('omits the copies from its report until they change', async () => {
    const target = await start();
    await until(async () => {
      const {copies} = await target.client.report.query();
      return copies.length === 1;
    });
    const held = await target.client.report.query();
    const same = await target.client.reportSince.query(held);
    expect(same).not.toHaveProperty('copies');
    await until(async () => {
      const result = await target.client.propose.mutate({
        proposalId: `p-${Math.random()}`,
        plannerEpoch: 1,
        kind: 'load',
        artifact: 'letters@2',
        bytes: 8 * GIB,
      });
      return result.accepted;
    });
    const changed = await target.client.reportSince.query(held);
    expect('copies' in changed && changed.copies.length).toBe(2);
  });
});
