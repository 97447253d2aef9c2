import OpenAI from 'openai';
import {afterEach, describe, expect, it} from 'vitest';
import {
  EngineStandin,
  expectedText,
  renderPrompt,
  type EngineFaults,
} from '../index.js';
import {call, callJson, readEvents} from './httpHelpers.js';

const MESSAGES = [{role: 'user' as const, content: 'Am I eligible?'}];
const EXPECTED = expectedText('claims@3', renderPrompt(MESSAGES), 5);

let stops: Array<() => Promise<void>> = [];

afterEach(async () => {
  await Promise.all(stops.map(stop => stop()));
  stops = [];
});

async function startEngine(faults: Partial<EngineFaults> = {}) {
  const engine = new EngineStandin({
    baseStepMs: 0,
    stepMsPerSequence: 0,
    prefillTokensPerSecond: 1e9,
    models: [{artifact: 'claims@3', bytes: 1}],
    faults,
  });
  const {port} = await engine.start();
  stops.push(() => engine.stop());
  const url = `http://127.0.0.1:${port}`;
  const client = new OpenAI({
    baseURL: `${url}/v1`,
    apiKey: 'unused',
    maxRetries: 0,
  });
  return {engine, url, client};
}

describe('EngineStandin', () => {
  it('speaks to the openai client, whole and streamed', async () => {
    const {client} = await startEngine();
    const params = {model: 'claims@3', messages: MESSAGES, max_tokens: 5};
    const whole = await client.chat.completions.create(params, {
      headers: {'x-request-id': 'r1'},
    });
    expect(whole.id).toBe('chatcmpl-r1');
    expect(whole.choices[0]?.message.content).toBe(EXPECTED);
    expect(whole.usage?.completion_tokens).toBe(5);
    const stream = await client.chat.completions.create({
      ...params,
      stream: true,
      stream_options: {include_usage: true},
    });
    const roles: Array<string | undefined> = [];
    let text = '';
    let totalTokens: number | undefined;
    for await (const chunk of stream) {
      const delta = chunk.choices[0]?.delta;
      roles.push(delta?.role);
      text += delta?.content ?? '';
      totalTokens = chunk.usage?.total_tokens;
    }
    expect(text).toBe(EXPECTED);
    expect(roles.filter(Boolean)).toEqual(['assistant']);
    expect(roles[0]).toBe('assistant');
    expect(totalTokens).toBe(whole.usage?.total_tokens);
    const completion = await client.completions.create({
      model: 'claims@3',
      prompt: 'Dear council',
      max_tokens: 7,
    });
    const wanted = expectedText('claims@3', 'Dear council', 7);
    expect(completion.choices[0]?.text).toBe(wanted);
    const models = await client.models.list();
    expect(models.data.map(({id}) => id)).toEqual(['claims@3']);
    const absent = client.chat.completions.create({...params, model: 'm@9'});
    await expect(absent).rejects.toMatchObject({status: 404});
  });

  const streamBody = {
    model: 'claims@3',
    messages: MESSAGES,
    max_tokens: 5,
    stream: true,
  };
  const runHeaders = {'x-request-id': 'r1'};

  it('numbers the events and resumes after the last one seen', async () => {
    const {url} = await startEngine();
    const chat = `${url}/v1/chat/completions`;
    const whole = await call(chat, 'POST', streamBody, runHeaders);
    expect(whole.headers['x-request-id']).toBe('r1');
    expect(Number(whole.headers['x-engine-now-ms'])).toBeGreaterThan(0);
    const events = whole.text.split('\n\n').slice(0, -1);
    const ids = events.map(event => event.split('\n')[0]);
    expect(ids).toEqual([1, 2, 3, 4, 5, 6, 7].map(id => `id: ${id}`));
    expect(events.at(-1)).toBe('id: 7\ndata: [DONE]');
    const streamUrl = `${url}/v1/streams/r1`;
    const rest = await call(streamUrl, 'GET', undefined, {
      'last-event-id': '4',
    });
    expect(rest.text.split('\n\n').slice(0, -1)).toEqual(events.slice(4));
    expect((await call(`${url}/v1/streams/r2`)).status).toBe(404);
    const cancelled = await callJson(streamUrl, 'DELETE');
    expect(cancelled.body).toEqual({state: 'finished'});
  });

  // The caller's connection breaks, ends early or carries what is not its own,
  // while the engine makes the whole answer, and a resumption gives all of it.
  const cases: Array<{fault: Partial<EngineFaults>; seen: string}> = [
    {fault: {cutStreamAfterEvents: 2}, seen: '1 2 cut'},
    {fault: {endStreamAfterEvents: 2}, seen: '1 2'},
    {fault: {doubleEvent: 2}, seen: '1 2 2 3 4 5 6 7'},
    {fault: {crossAfterEvents: 2}, seen: '1 2 3x 3 4 5 6 7'},
  ];
  it.each(cases)('streams with $fault', async ({fault, seen}) => {
    const {engine, url} = await startEngine({faultyStreams: 1, ...fault});
    const chat = `${url}/v1/chat/completions`;
    expect(await readEvents(chat, streamBody, runHeaders)).toBe(seen);
    const resumed = await call(`${url}/v1/streams/r1`);
    expect(resumed.text).toContain('id: 7\ndata: [DONE]');
    expect(engine.state.truth.ofKind('request-finished')).toHaveLength(1);
  });

  // A paused engine takes the connection and says nothing; its switches still
  // answer. What it was sent meanwhile takes effect when the pause is over.
  it('holds every call in a pause', async () => {
    const {engine, url} = await startEngine({paused: true});
    const body = {...streamBody, stream: false};
    const held = callJson(`${url}/v1/chat/completions`, 'POST', body);
    const faultsUrl = `${url}/control/faults`;
    expect((await callJson(faultsUrl)).body.paused).toBe(true);
    expect(engine.state.truth.ofKind('request-received')).toEqual([]);
    await call(faultsUrl, 'PUT', {paused: false});
    expect((await held).status).toBe(200);
  });

  const wholeCases: Array<{
    fault: Partial<EngineFaults>;
    seen: string;
    finished: number;
  }> = [
    {fault: {failNextRequests: 1}, seen: '500', finished: 0},
    {fault: {outage: 'refuse'}, seen: '503', finished: 0},
    {fault: {outage: 'cut'}, seen: 'cut', finished: 0},
    {fault: {cutNextWholeAnswers: 1}, seen: 'cut', finished: 1},
    {
      fault: {crossNextWholeAnswers: 1},
      seen: 'chatcmpl-another-request',
      finished: 1,
    },
  ];
  it.each(wholeCases)('answers with $fault', async testCase => {
    const {engine, url} = await startEngine(testCase.fault);
    const body = {...streamBody, stream: false};
    const answer = call(`${url}/v1/chat/completions`, 'POST', body, runHeaders);
    const seen = await answer.then(
      ({status, text}) => JSON.parse(text).id ?? String(status),
      () => 'cut',
    );
    expect(seen).toBe(testCase.seen);
    const finished = engine.state.truth.ofKind('request-finished');
    expect(finished).toHaveLength(testCase.finished);
  });
});
