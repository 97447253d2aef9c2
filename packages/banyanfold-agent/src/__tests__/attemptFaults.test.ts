import {HEADERS} from '@banyanfold/protocol';
import {expectedText, renderPrompt} from '@banyanfold/standins';
import {afterEach, describe, expect, it} from 'vitest';
import {
  doneEvent,
  event,
  FakeEngine,
  finishEvent,
  sendJson,
  type FakeEngineOptions,
} from './fakeEngine.js';
import {
  chatBody,
  MODEL,
  readFrames,
  readUntilCut,
  sendAttempt,
  startTestAgent,
  until,
} from './testAgent.js';

const PROMPT = renderPrompt([
  {role: 'user', content: 'is the member eligible?'},
]);

const cleanups: Array<() => Promise<void>> = [];
afterEach(async () => {
  for (const cleanup of cleanups.splice(0)) await cleanup();
});

async function start(options: Parameters<typeof startTestAgent>[0] = {}) {
  const started = await startTestAgent(options);
  cleanups.push(started.stop);
  return started;
}

async function startWithFake(options: FakeEngineOptions) {
  const fakeEngine = new FakeEngine(options);
  return {...(await start({fakeEngine})), fakeEngine};
}

// Guards against truncated, repeated or foreign text on a connection that ends
// cleanly. The engine still has the whole stream, so the agent resumes it until
// its end marker.
describe('a stream whose engine connection misbehaves', () => {
  it.each([
    ['is cut before the first event', {cutStreamAfterEvents: 0}, 1],
    ['is cut', {cutStreamAfterEvents: 3}, 1],
    ['is cut three times', {cutStreamAfterEvents: 2}, 3],
    ['ends cleanly without [DONE]', {endStreamAfterEvents: 3}, 1],
    ['ends cleanly just before [DONE]', {endStreamAfterEvents: 9}, 1],
    ['sends an event twice', {doubleEvent: 2}, 1],
    ["sends another request's event", {crossAfterEvents: 2}, 1],
  ])('that %s is complete at the end', async (_name, faults, faultyStreams) => {
    const target = await start();
    target.engine.state.faults.set({...faults, faultyStreams});
    const {attemptId, requestId, response} = await sendAttempt(target);
    const {text, cut} = await readUntilCut(response.body);
    const frames = readFrames(text);
    expect({cut, done: frames.done}).toEqual({cut: false, done: true});
    expect(frames.content).toBe(expectedText(MODEL, PROMPT, 8));
    expect([...frames.chunkIds]).toEqual([`chatcmpl-${requestId}`]);
    expect(frames.ids).toEqual(
      frames.ids.map((_, index) => `${attemptId}/${index + 1}`),
    );
  });

  it('that stays broken is cut for the reader and cancelled at the engine', async () => {
    const target = await start();
    const faults = {cutStreamAfterEvents: 1, faultyStreams: 1000};
    target.engine.state.faults.set(faults);
    const {response} = await sendAttempt(target, {
      body: chatBody({max_tokens: 100}),
    });
    const {text, cut} = await readUntilCut(response.body);
    expect(cut).toBe(true);
    expect(readFrames(text).done).toBe(false);
    const {truth} = target.engine.state;
    await until(() => truth.ofKind('request-cancelled').length === 1);
  });
});

// The stream breaks and the engine doesn't know it any more, so it can't be
// resumed. The connection to the entry must not end cleanly.
describe('a stream that the engine cannot resume', () => {
  const id = (requestId: string) => `chatcmpl-${requestId}`;
  it.each<[string, (requestId: string) => string]>([
    ['a gap', r => event(1, id(r), 'a') + event(3, id(r), 'c')],
    ['a clean end', r => event(1, id(r), 'a')],
    ["another request's end marker", r => event(1, id(r), 'a') + doneEvent(2)],
    ['an early end marker', r => event(1, id(r), 'a') + doneEvent(3)],
    ['invalid JSON', r => `${event(1, id(r), 'a')}id: 2\ndata: {"id"\n\n`],
    [
      "an engine's error",
      r => `${event(1, id(r), 'a')}data: {"error":{"message":"x"}}\n\n`,
    ],
  ])('after %s is cut and never ends cleanly', async (_name, body) => {
    const target = await startWithFake({
      onRequest: (_req, res, requestId) => {
        res.writeHead(200, {'content-type': 'text/event-stream'});
        res.end(body(requestId));
      },
    });
    const {response} = await sendAttempt(target);
    const {text, cut} = await readUntilCut(response.body);
    expect(cut).toBe(true);
    const {content, done} = readFrames(text);
    expect(done).toBe(false);
    expect(['', 'a']).toContain(content);
    await until(() => target.fakeEngine.cancelled.length === 1);
  });

  it('reassembles an event that arrives in pieces', async () => {
    const target = await startWithFake({
      onRequest: (_req, res, requestId) => {
        const name = id(requestId);
        const all = Buffer.from(
          event(1, name, 'años') + finishEvent(2, name) + doneEvent(3),
        );
        for (const byte of all) res.write(Buffer.from([byte]));
        res.end();
      },
    });
    const {response} = await sendAttempt(target);
    const {text, cut} = await readUntilCut(response.body);
    expect({cut, ...readFrames(text)}).toMatchObject({
      cut: false,
      content: 'años',
      done: true,
    });
  });
});

// An entry stalls and reads nothing. Without backpressure on the engine, a few
// such readers would fill the agent's memory. A reader that never continues
// must not keep its slot after its attempt is sealed.
describe('a reader that stops reading', () => {
  it('pauses reading from the engine and loses its slot on a seal', async () => {
    const chunk = 'x'.repeat(60_000);
    let blockedCount = 0;
    let lastSeq = 0;
    const target = await startWithFake({
      onRequest: (_req, res, requestId) => {
        res.writeHead(200, {'content-type': 'text/event-stream'});
        const write = () => {
          while (!res.destroyed) {
            const name = `chatcmpl-${requestId}`;
            if (!res.write(event(++lastSeq, name, chunk))) break;
          }
        };
        res.on('drain', write);
        write();
      },
    });
    const {attemptId} = await sendAttempt(target);
    let seenSeq = 0;
    await until(async () => {
      await new Promise(resolve => setTimeout(resolve, 20));
      blockedCount = lastSeq === seenSeq ? blockedCount + 1 : 0;
      seenSeq = lastSeq;
      return blockedCount === 10;
    });
    expect((await target.client.report.query()).running).toBe(1);
    await target.client.seal.mutate({attemptId});
    await until(async () => (await target.client.report.query()).running === 0);
    expect(target.fakeEngine.cancelled).toHaveLength(1);
  });
});

// The engine's response is lost, truncated or another request's. The outcome
// must be reported as unknown, because the request may have run.
describe('a whole response that is unusable', () => {
  const whole = (id: string) => JSON.stringify({id, choices: []});
  it.each<[string, FakeEngineOptions['onRequest']]>([
    ['never arrives', (_req, res) => res.destroy()],
    [
      'is cut',
      (_req, res, r) => {
        const body = whole(`chatcmpl-${r}`);
        res.writeHead(200, {'content-length': body.length});
        res.write(body.slice(0, 8), () => res.destroy());
      },
    ],
    [
      'ends early on a connection that ends cleanly',
      (_req, res, r) => {
        res.writeHead(200, {connection: 'close'});
        res.end(whole(`chatcmpl-${r}`).slice(0, 12));
      },
    ],
    [
      "is another request's",
      (_req, res) => sendJson(res, 200, {id: 'chatcmpl-other', choices: []}),
    ],
    ['is an internal error', (_req, res) => sendJson(res, 500, {error: 'x'})],
    ['is a 503 response', (_req, res) => sendJson(res, 503, {})],
  ])('because it %s has an unknown outcome', async (_name, onRequest) => {
    const target = await startWithFake({onRequest});
    const {response} = await sendAttempt(target, {
      body: chatBody({stream: false}),
    });
    expect(response.statusCode).toBe(502);
    expect(response.headers[HEADERS.outcome]).toBe('unknown');
    expect(await response.body.json()).toMatchObject({
      error: {type: 'outcome_unknown'},
      outcome: 'unknown',
    });
    expect(target.fakeEngine.requests).toHaveLength(1);
  });

  it.each([
    [400, 'engine-rejected'],
    [404, 'not-held'],
    [429, 'busy'],
  ])('refused with %i was not run', async (status, code) => {
    const target = await startWithFake({
      onRequest: (_req, res) => sendJson(res, status, {error: 'x'}),
    });
    const {response} = await sendAttempt(target);
    expect(response.headers[HEADERS.outcome]).toBe('not-run');
    expect(await response.body.json()).toMatchObject({error: {code}});
  });

  it('from an unreachable engine was not run', async () => {
    const target = await startWithFake({onRequest: () => {}});
    await target.fakeEngine.stop();
    const {response} = await sendAttempt(target);
    expect(response.headers[HEADERS.outcome]).toBe('not-run');
    expect(await response.body.json()).toMatchObject({
      error: {code: 'engine-unreachable'},
    });
  });
});
