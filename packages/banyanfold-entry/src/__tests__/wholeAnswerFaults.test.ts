import {HEADERS} from '@banyanfold/protocol';
import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import {
  ANSWER_TEXT,
  answerJson,
  answerWhole,
  dropConnection,
  runThenDropConnection,
  refuse,
  completionBody,
} from './kit/behaviours.js';
import type {AttemptCall, Behaviour} from './kit/fakeAgent.js';
import {eventually} from './kit/eventually.js';
import {CHAT, TestSystem, openaiClient, post} from './kit/testSystem.js';

const system = new TestSystem();
let port = 0;

beforeAll(async () => {
  await system.start(2);
  port = await system.startReadyEntry();
});
afterEach(() => {
  system.next.length = 0;
  system.takeCounts();
  for (const agent of system.agents) {
    agent.fallback = answerWhole;
    agent.sealState = 'started';
  }
});
afterAll(() => system.stop());

function half(headers: Record<string, string | number>): Behaviour {
  return call => {
    const body = completionBody(call.requestId);
    call.res.writeHead(200, {
      'content-type': 'application/json',
      [HEADERS.attemptId]: call.attemptId,
      ...headers,
    });
    call.res.write(body.slice(0, body.length / 2), () => dropConnection(call));
  };
}

/** A body whose end is the end of the connection, cleanly cut in the middle. */
const halfWithoutLength: Behaviour = call => {
  const body = completionBody(call.requestId);
  call.socket.end(
    'HTTP/1.1 200 OK\r\nconnection: close\r\n' +
      `${HEADERS.attemptId}: ${call.attemptId}\r\n\r\n` +
      body.slice(0, body.length / 2),
  );
};

const FAULTS: Array<[string, Behaviour]> = [
  ['an agent that dies with nothing sent', runThenDropConnection],
  ['half a body of a stated length', half({'content-length': 400})],
  ['half a chunked body', half({})],
  ['half a body without a length', halfWithoutLength],
  ['a refusal', refuse('busy', 429)],
  ['a refusal by an earlier incarnation', refuse('wrong-incarnation', 409)],
  [
    "another attempt's answer",
    (call: AttemptCall) =>
      answerJson(call, completionBody('another'), {
        [HEADERS.attemptId]: 'another',
      }),
  ],
  [
    'an engine in trouble',
    call => {
      call.res.writeHead(500, {[HEADERS.attemptId]: call.attemptId});
      call.res.end('{"error":{"message":"out of order"}}');
    },
  ],
];

describe('createEntry, whole answers that fail', () => {
  // The caller gets the whole answer of a second attempt. The first brings a
  // part, a foreign answer or none; taken as it is, the caller would be read
  // half an eligibility answer, or another member's.
  it.each(FAULTS)('tries again after %s', async (_name, fault) => {
    system.next.push(fault);
    const answer = await openaiClient(port).chat.completions.create(CHAT);
    expect(answer.choices[0]?.message.content).toBe(ANSWER_TEXT);
    expect(system.takeCounts().calls).toBe(2);
  });

  it('says not run, at once and with Retry-After, when all refuse', async () => {
    for (const agent of system.agents) {
      agent.fallback = refuse('busy', 429, 'not-run', 1_500);
    }
    expect(await post(port, '/v1/chat/completions')).toMatchSnapshot();
  });

  // Both agents take the request in and die. Whether it ran is for the seal to
  // say; without its word it may have run, and the caller must not be told
  // otherwise, or it would lodge the same claim again.
  it.each([
    ['started', 502, 'unknown'],
    ['finished', 502, 'unknown'],
    ['unknown', 502, 'unknown'],
    ['never-started', 503, 'not-run'],
  ] as const)(
    'answers by what the seal says: %s',
    async (sealState, status, outcome) => {
      for (const agent of system.agents) {
        agent.fallback = runThenDropConnection;
        agent.sealState = sealState;
      }
      const answer = await post(port, '/v1/chat/completions');
      expect([answer.status, answer.outcome]).toEqual([status, outcome]);
      const sent = system.agents.flatMap(({calls}) => calls);
      const sealed = system.agents.flatMap(agent => agent.sealed.splice(0));
      expect(sealed).toEqual(
        expect.arrayContaining(sent.map(({attemptId}) => attemptId)),
      );
    },
  );

  // The agent takes the request in and hangs. The person who waits gets the
  // final answer when the selector's target is over, and the attempt is
  // stopped; it ran, so the outcome is unknown.
  it('gives up at the deadline and says that it may have run', async () => {
    for (const agent of system.agents) agent.fallback = () => {};
    const answer = await post(port, '/v1/chat/completions', {
      headers: {'x-hurry': 'yes'},
    });
    expect([answer.status, answer.outcome, answer.code]).toEqual([
      504,
      'unknown',
      'deadline_exceeded',
    ]);
    expect(system.takeCounts().calls).toBe(1);
  });

  it('says not run when no agent takes a connection', async () => {
    const lonely = new TestSystem();
    await lonely.start();
    const lonelyPort = await lonely.startReadyEntry({unreachableAfter: 1_000});
    await lonely.agents[0]!.stop();
    const answer = await post(lonelyPort, '/v1/chat/completions');
    expect([answer.status, answer.outcome, answer.code]).toEqual([
      503,
      'not-run',
      'unreachable',
    ]);
    await lonely.stop();
  });

  it('refuses a caller over its concurrency', async () => {
    const held: AttemptCall[] = [];
    for (const agent of system.agents) {
      agent.fallback = call => held.push(call);
    }
    const open = Array.from({length: 8}, () =>
      post(port, '/v1/chat/completions'),
    );
    await eventually(() => held.length).toBe(8);
    const answer = await post(port, '/v1/chat/completions');
    expect([answer.status, answer.outcome, answer.retryAfter]).toEqual([
      429,
      'not-run',
      '1',
    ]);
    for (const call of held) answerWhole(call);
    const statuses = (await Promise.all(open)).map(({status}) => status);
    expect(new Set(statuses)).toEqual(new Set([200]));
  });

  it('passes on what the caller did wrong, without another try', async () => {
    system.next.push(refuse('engine-rejected', 400));
    const answer = await post(port, '/v1/chat/completions');
    expect([answer.status, answer.outcome]).toEqual([400, 'not-run']);
    expect(system.takeCounts().calls).toBe(1);
  });

  // The caller hangs up while the agent works. The attempt must be stopped, or
  // an accelerator works on for nobody.
  it('stops the attempt when the caller goes away', async () => {
    const abort = new AbortController();
    system.next.push(() => abort.abort());
    const request = openaiClient(port).chat.completions.create(CHAT, {
      signal: abort.signal,
    });
    await expect(request).rejects.toThrow();
    const call = system.agents.flatMap(({calls}) => calls)[0]!;
    const {agent, attemptId} = call;
    await eventually(() => agent.sealed).toContain(attemptId);
    await eventually(() => call.socket.destroyed).toBe(true);
  });
});
