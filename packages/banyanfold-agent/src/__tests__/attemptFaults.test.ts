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

const stops: Array<() => Promise<void>> = [];
afterEach(async () => {
  for (const stop of stops.splice(0)) await stop();
});

async function start(options: Parameters<typeof startTestAgent>[0] = {}) {
  const started = await startTestAgent(options);
  stops.push(started.stop);
  return started;
}

async function startWithFake(options: FakeEngineOptions) {
  const fakeEngine = new FakeEngine(options);
  return {...(await start({fakeEngine})), fakeEngine};
}

// The caller would see a text that stops early, repeats itself or has a
// stranger's words in it, on a connection that ends as if all were well. The
// engine still has the whole stream, so the agent reads on until its true end.
describe('a stream whose engine connection misbehaves', () => {
  it.each([
    ['is cut before the first event', {cutStreamAfterEvents: 0}, 1],
    ['is cut', {cutStreamAfterEvents: 3}, 1],
    ['is cut three times', {cutStreamAfterEvents: 2}, 3],
    ['ends cleanly without [DONE]', {endStreamAfterEvents: 3}, 1],
    ['ends cleanly just before [DONE]', {endStreamAfterEvents: 9}, 1],
    ['sends an event twice', {doubleEvent: 2}, 1],
    ["sends another request's event", {crossAfterEvents: 2}, 1],
  ])('that %s is whole at the end', async (_name, faults, faultyStreams) => {
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

  it('that stays broken is cut for the reader, and ended at the engine', async () => {
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

// A fault in the middle that the engine can't mend: it doesn't know the stream
// any more. Whatever came, the connection to the entry must not end cleanly.
describe('a stream that the engine cannot resume', () => {
  const id = (requestId: string) => `chatcmpl-${requestId}`;
  it.each<[string, (requestId: string) => string]>([
    ['a gap', r => event(1, id(r), 'a') + event(3, id(r), 'c')],
    ['a clean end', r => event(1, id(r), 'a')],
    ['the end marker of another', r => event(1, id(r), 'a') + doneEvent(2)],
    ['an early end marker', r => event(1, id(r), 'a') + doneEvent(3)],
    ['no JSON', r => `${event(1, id(r), 'a')}id: 2\ndata: {"id"\n\n`],
    [
      "an engine's error",
      r => `${event(1, id(r), 'a')}data: {"error":{"message":"x"}}\n\n`,
    ],
  ])('after %s is cut, never ended', async (_name, body) => {
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

  it('keeps an event that comes in pieces together', async () => {
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

// The entry has stalled and reads nothing. Were the engine's events taken in
// all the same, a few such readers would fill the agent's memory; and a reader
// that never wakes must not keep its slot once the attempt is given up.
describe('a reader that stops reading', () => {
  it('stops the reading at the engine, and is let go by a seal', async () => {
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

// The engine's answer is lost, short or somebody else's. The caller must hear
// that the outcome is unknown: the request may have run.
describe('a whole answer that is not whole', () => {
  const whole = (id: string) => JSON.stringify({id, choices: []});
  it.each<[string, FakeEngineOptions['onRequest']]>([
    ['never comes', (_req, res) => res.destroy()],
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
    ['is a failure', (_req, res) => sendJson(res, 500, {error: 'x'})],
    ['is an overload of unknown depth', (_req, res) => sendJson(res, 503, {})],
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

  it('from an engine that takes no connection was not run', async () => {
    const target = await startWithFake({onRequest: () => {}});
    await target.fakeEngine.stop();
    const {response} = await sendAttempt(target);
    expect(response.headers[HEADERS.outcome]).toBe('not-run');
    expect(await response.body.json()).toMatchObject({
      error: {code: 'engine-unreachable'},
    });
  });
});
