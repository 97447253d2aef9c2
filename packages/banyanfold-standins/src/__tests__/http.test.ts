import {MemoryLogger} from '@banyanfold/core';
import OpenAI from 'openai';
import {request} from 'undici';
import {afterEach, describe, expect, it} from 'vitest';
import {
  EngineStandin,
  expectedText,
  renderPrompt,
  standinsSettingsSchema,
  startStandins,
  type EngineFaults,
  type StandinsSettingsInput,
  type StartedStandins,
} from '../index.js';

const MESSAGES = [{role: 'user' as const, content: 'Am I eligible?'}];
const EXPECTED = expectedText('claims@3', renderPrompt(MESSAGES), 5);

let stops: Array<() => Promise<void>> = [];

afterEach(async () => {
  await Promise.all(stops.map(stop => stop()));
  stops = [];
});

async function start(settings: StandinsSettingsInput) {
  const logger = new MemoryLogger();
  const parsed = standinsSettingsSchema.parse(settings);
  const started: StartedStandins = await startStandins(parsed, logger);
  stops.push(() => started.stop());
  const urlOf = (name: string) => `http://127.0.0.1:${started.ports[name]}`;
  return {urlOf, logger};
}

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

async function call(
  url: string,
  method: 'GET' | 'POST' | 'PUT' | 'DELETE' = 'GET',
  body?: unknown,
  headers: Record<string, string> = {},
) {
  const answer = await request(url, {
    method,
    headers: {'content-type': 'application/json', ...headers},
    body: body === undefined ? undefined : JSON.stringify(body),
  });
  const text = await answer.body.text();
  return {status: answer.statusCode, headers: answer.headers, text};
}

async function callJson(...args: Parameters<typeof call>) {
  const {status, text} = await call(...args);
  return {status, body: JSON.parse(text)};
}

/** The numbers of a stream's events (`x`: another's), and `cut` if it was. */
async function readEvents(
  url: string,
  body: unknown,
  headers: Record<string, string>,
): Promise<string> {
  const answer = await request(url, {
    method: 'POST',
    headers,
    body: JSON.stringify(body),
  });
  let text = '';
  let end: string[] = [];
  try {
    for await (const part of answer.body) text += String(part);
  } catch {
    end = ['cut'];
  }
  const events = text.split('\n\n').slice(0, -1);
  const seen = events.map(event => {
    const id = /^id: (\d+)/.exec(event)?.[1];
    return event.includes('chatcmpl-another') ? `${id}x` : id;
  });
  return [...seen, ...end].join(' ');
}

describe('startStandins', () => {
  it('serves the log', async () => {
    const {urlOf} = await start({log: {}});
    const records = `${urlOf('log')}/streams/claims/records`;
    const appended = await callJson(records, 'POST', {records: [{a: 1}, 2]});
    expect(appended).toMatchObject({
      status: 200,
      body: {firstOffset: 1, lastOffset: 2},
    });
    const page = await callJson(`${records}?from=2&limit=10&waitMs=0`);
    expect(page.body).toMatchObject({
      firstOffset: 1,
      nextOffset: 3,
      records: [{offset: 2, value: 2}],
    });
    const poll = callJson(`${records}?from=3&waitMs=20000`);
    await callJson(records, 'POST', {records: ['late']});
    expect((await poll).body.records).toMatchObject([{offset: 3}]);
    expect((await callJson(records, 'POST', {records: []})).status).toBe(400);
  });

  // The append takes effect, then the connection is cut: the writer sees an
  // error and only a later read tells it that the record is there.
  it('cuts the connection of an append that took effect', async () => {
    const {urlOf} = await start({log: {faults: {loseNextAppendAnswers: 1}}});
    const records = `${urlOf('log')}/streams/claims/records`;
    await expect(call(records, 'POST', {records: ['a']})).rejects.toThrow();
    const page = await callJson(`${records}?from=1`);
    expect(page.body.records).toMatchObject([{offset: 1, value: 'a'}]);
  });

  it('serves the weight store and the list of VMs', async () => {
    const vm = {
      vmId: 'a1',
      role: 'agent' as const,
      host: '127.0.0.1',
      port: 1,
      failureDomain: 'fd-1',
    };
    const {urlOf} = await start({weightStore: {}, vmList: {vms: [vm]}});
    const loads = `${urlOf('weight-store')}/loads`;
    const load = {artifact: 'claims@3', bytes: 2e9};
    const granted = await callJson(loads, 'POST', load);
    expect(granted.body).toEqual({loadId: 'load-1', durationMs: 1200});
    const refused = await call(loads, 'POST', load);
    expect(refused.status).toBe(429);
    expect(refused.headers['retry-after']).toBe('1');
    expect((await call(`${loads}/load-1`, 'DELETE')).status).toBe(200);
    const vmsUrl = urlOf('vm-list');
    const leaving = {...vm, region: 'suva', state: 'leaving'};
    await call(`${vmsUrl}/control/vms`, 'PUT', {vms: [leaving]});
    expect((await callJson(`${vmsUrl}/vms`)).body.vms).toEqual([leaving]);
  });

  it('serves plain services, keeps the truth, and logs no body', async () => {
    const {urlOf, logger} = await start({services: [{name: 'lodging'}]});
    const headers = {'idempotency-key': 'k1'};
    const url = urlOf('lodging');
    await call(`${url}/claims/new`, 'POST', {name: 'Ana'}, headers);
    await call(`${url}/control/faults`, 'PUT', {failNext: 1});
    expect((await call(`${url}/claims/new`, 'POST', {})).status).toBe(500);
    const truth = await callJson(`${url}/control/truth`);
    expect(truth.body).toMatchObject([
      {
        kind: 'call',
        path: '/claims/new',
        idempotencyKey: 'k1',
        body: {name: 'Ana'},
      },
    ]);
    expect(logger.lines.join('\n')).toContain('event=call');
    expect(logger.lines.join('\n')).not.toContain('Ana');
  });

  it('loads a model through the weight store', async () => {
    const {urlOf} = await start({weightStore: {baseLoadMs: 0}});
    const weightStoreUrl = urlOf('weight-store');
    const engines = [{name: 'e1', weightStoreUrl, reportLagMs: 0}];
    const {urlOf: engineUrl} = await start({engines});
    const url = engineUrl('e1');
    const order = {orderId: 'o1', kind: 'load', artifact: 'm@1', fencing: 1};
    const answer = await callJson(`${url}/orders`, 'POST', order);
    expect(answer).toMatchObject({
      status: 202,
      body: {orderId: 'o1', accepted: true},
    });
    const isLoaded = async () =>
      (await callJson(`${url}/report`)).body.models[0]?.state === 'loaded';
    await expect.poll(isLoaded, {timeout: 30_000}).toBe(true);
    const stale = await callJson(`${url}/orders`, 'POST', {
      ...order,
      orderId: 'o2',
      fencing: 0,
    });
    expect(stale).toEqual({
      status: 409,
      body: {code: 'stale-fencing', highestFencing: 1},
    });
  });
});

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
    let text = '';
    let totalTokens: number | undefined;
    for await (const chunk of stream) {
      text += chunk.choices[0]?.delta.content ?? '';
      totalTokens = chunk.usage?.total_tokens;
    }
    expect(text).toBe(EXPECTED);
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
