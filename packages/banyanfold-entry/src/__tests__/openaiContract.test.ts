import {request} from 'node:http';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {ANSWER_TEXT, frame, framesOf, sendFrames} from './kit/behaviours.js';
import {
  CALLER_KEY,
  CHAT,
  TestSystem,
  openaiClient,
  post,
} from './kit/testSystem.js';

const system = new TestSystem();
let port = 0;

beforeAll(async () => {
  await system.start();
  port = await system.startReadyEntry({limits: {bodyBytes: 4_096}});
});
afterAll(() => system.stop());

describe('createEntry, by the openai client', () => {
  it('lists only the names that selectors allow the caller', async () => {
    const models = await openaiClient(port).models.list();
    expect(models.data.map(({id}) => id)).toEqual(['claims', 'counter']);
  });

  it('answers a chat completion without streaming', async () => {
    const answer = await openaiClient(port).chat.completions.create(CHAT);
    expect(answer.choices[0]?.message.content).toBe(ANSWER_TEXT);
    expect(answer.usage?.total_tokens).toBe(6);
  });

  it('streams a chat completion', async () => {
    const request = {...CHAT, stream: true as const};
    const stream = await openaiClient(port).chat.completions.create(request);
    let text = '';
    for await (const chunk of stream) {
      text += chunk.choices[0]?.delta.content ?? '';
    }
    expect(text).toBe(ANSWER_TEXT);
  });

  it('forwards the chunk with the usage', async () => {
    const usage = {prompt_tokens: 3, completion_tokens: 3, total_tokens: 6};
    system.next.push(
      sendFrames(call => {
        const frames = framesOf(call).slice(0, -1);
        const last = JSON.stringify({choices: [], usage});
        const {attemptId} = call;
        return [
          ...frames,
          frame(attemptId, frames.length + 1, last),
          frame(attemptId, frames.length + 2, '[DONE]'),
        ];
      }),
    );
    const stream = await openaiClient(port).chat.completions.create({
      ...CHAT,
      stream: true,
      stream_options: {include_usage: true},
    });
    const usages: unknown[] = [];
    for await (const chunk of stream) usages.push(chunk.usage);
    expect(usages.at(-1)).toEqual(usage);
  });

  it.each([
    ['a wrong key', {key: 'wrong', model: 'claims', pad: 0}],
    [
      'a caller that no selector allows',
      {key: 'other-key', model: 'claims', pad: 0},
    ],
    [
      'a name that is hidden from the caller',
      {key: CALLER_KEY, model: 'hidden', pad: 0},
    ],
    ['an unknown model', {key: CALLER_KEY, model: 'nothing', pad: 0}],
    ['a body over the limit', {key: CALLER_KEY, model: 'claims', pad: 9_000}],
  ])(
    'refuses %s in the OpenAI error format',
    async (_name, {key, model, pad}) => {
      const answer = await post(port, '/v1/chat/completions', {
        headers: {authorization: `Bearer ${key}`},
        body: JSON.stringify({...CHAT, model, user: 'x'.repeat(pad)}),
      });
      expect(answer).toMatchSnapshot();
    },
  );

  it.each([
    ['a service requested as a model', '/v1/chat/completions', 'lodging'],
    ['a model requested as a service', '/services/claims/x', 'claims'],
  ])('does not find %s', async (_name, path, model) => {
    const body = JSON.stringify({...CHAT, model});
    const {status, outcome} = await post(port, path, {body});
    expect([status, outcome]).toEqual([404, 'not-run']);
  });

  // Most clients normalize such paths; `node:http` sends them unchanged.
  it.each(['/services/lodging/../x', '/services/lodging/%2E%2e/x'])(
    'does not find %s, which leaves the path of the service',
    async path => {
      const status = await new Promise(resolve => {
        const headers = {authorization: `Bearer ${CALLER_KEY}`};
        request({port, path, method: 'POST', headers})
          .on('response', res => resolve(res.statusCode))
          .end('{}');
      });
      expect(status).toBe(404);
    },
  );

  it('never logs a key', () => {
    const text = system.logLines.join('\n');
    expect(text).not.toContain(CALLER_KEY);
    expect(text).not.toContain('other-key');
  });
});
