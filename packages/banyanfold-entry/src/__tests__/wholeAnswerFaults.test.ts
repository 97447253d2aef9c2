import {HEADERS} from '@banyanfold/protocol';
import {v7 as uuidV7} from 'uuid';
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
  system.nextResumes.length = 0;
  system.takeCounts();
  for (const agent of system.agents) {
    agent.fallback = answerWhole;
    agent.sealState = 'started';
  }
});
afterAll(() => system.stop());

function truncatedBody(headers: Record<string, string | number>): Behaviour {
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

/** Half a body that is delimited only by the clean end of the connection. */
const truncatedBodyWithoutLength: Behaviour = call => {
  const body = completionBody(call.requestId);
  call.socket.end(
    'HTTP/1.1 200 OK\r\nconnection: close\r\n' +
      `${HEADERS.attemptId}: ${call.attemptId}\r\n\r\n` +
      body.slice(0, body.length / 2),
  );
};

const FAULTS: Array<[string, Behaviour]> = [
  ['an agent that dies before it answers', runThenDropConnection],
  ['half a body of a stated length', truncatedBody({'content-length': 400})],
  ['half a chunked body', truncatedBody({})],
  ['half a body without a length', truncatedBodyWithoutLength],
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
    'a server error of the engine',
    call => {
      call.res.writeHead(500, {[HEADERS.attemptId]: call.attemptId});
      call.res.end('{"error":{"message":"out of order"}}');
    },
  ],
];

describe('createEntry, whole answers that fail', () => {
  // The first attempt returns a partial answer, that of another request or
  // none. The caller must receive the complete answer of a second attempt, not
  // half an eligibility answer or that of another member.
  it.each(FAULTS)('retries after %s', async (_name, fault) => {
    system.next.push(fault);
    const answer = await openaiClient(port).chat.completions.create(CHAT);
    expect(answer.choices[0]?.message.content).toBe(ANSWER_TEXT);
    expect(system.takeCounts().calls).toBe(2);
  });

  it('reports not-run at once, with Retry-After, when all refuse', async () => {
    for (const agent of system.agents) {
      agent.fallback = refuse('busy', 429, 'not-run', 1_500);
    }
    expect(await post(port, '/v1/chat/completions')).toMatchSnapshot();
  });

  // Both agents accept the request and die. Only sealing its attempts can prove
  // that it never started. Without that proof it may have run, and if `not-run`
  // were reported, the caller would lodge the same claim again.
  it.each([
    ['started', 502, 'unknown'],
    ['finished', 502, 'unknown'],
    ['unknown', 502, 'unknown'],
    ['never-started', 503, 'not-run'],
  ] as const)(
    'derives the outcome from the sealed state: %s',
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

  // Guards against giving up an answer that is computed for longer than the
  // resume of a stream may take.
  it('waits for a resumed answer until the deadline of the request', async () => {
    const resumeMs = 100;
    system.next.push(runThenDropConnection);
    for (let i = 0; i < 3; i++) {
      system.nextResumes.push(call => {
        setTimeout(() => answerJson(call, '{"receipt":17}'), resumeMs * 3);
      });
    }
    const headers = {'idempotency-key': uuidV7()};
    const path = '/services/lodging/claims';
    const answer = await post(port, path, {headers, body: '{}'});
    expect([answer.status, answer.text]).toEqual([200, '{"receipt":17}']);
    expect(system.takeCounts()).toMatchObject({calls: 1, resumes: 1});
  });

  // The agent accepts the request and hangs. The caller gets the final answer
  // at the deadline of its selector, and the attempt is stopped. The request
  // ran, so its outcome is unknown.
  it('fails at the deadline and reports that it may have run', async () => {
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

  it('reports not-run when no agent accepts a connection', async () => {
    const singleAgentSystem = new TestSystem();
    await singleAgentSystem.start();
    const singleAgentPort = await singleAgentSystem.startReadyEntry({
      unreachableAfter: 1_000,
    });
    await singleAgentSystem.agents[0]!.stop();
    const answer = await post(singleAgentPort, '/v1/chat/completions');
    expect([answer.status, answer.outcome, answer.code]).toEqual([
      503,
      'not-run',
      'unreachable',
    ]);
    await singleAgentSystem.stop();
  });

  it('refuses a caller over its concurrency limit', async () => {
    const heldCalls: AttemptCall[] = [];
    for (const agent of system.agents) {
      agent.fallback = call => heldCalls.push(call);
    }
    const pending = Array.from({length: 8}, () =>
      post(port, '/v1/chat/completions'),
    );
    await eventually(() => heldCalls.length).toBe(8);
    const answer = await post(port, '/v1/chat/completions');
    expect([answer.status, answer.outcome, answer.retryAfter]).toEqual([
      429,
      'not-run',
      '1',
    ]);
    for (const call of heldCalls) answerWhole(call);
    const statuses = (await Promise.all(pending)).map(({status}) => status);
    expect(new Set(statuses)).toEqual(new Set([200]));
  });

  it('reports an invalid request without a retry', async () => {
    system.next.push(refuse('engine-rejected', 400));
    const answer = await post(port, '/v1/chat/completions');
    expect([answer.status, answer.outcome]).toEqual([400, 'not-run']);
    expect(system.takeCounts().calls).toBe(1);
  });

  // The caller disconnects while the agent works. The attempt must be stopped,
  // or the accelerator would generate an answer that nobody reads.
  it('stops the attempt when the caller disconnects', async () => {
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
