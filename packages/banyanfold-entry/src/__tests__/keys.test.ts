import {v7 as uuidV7} from 'uuid';
import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import {
  answerJson,
  answerWhole,
  dropConnection,
  runThenDropConnection,
  refuse,
} from './kit/behaviours.js';
import type {AttemptCall, Behaviour} from './kit/fakeAgent.js';
import {eventually} from './kit/eventually.js';
import {TestSystem, post, type HttpAnswer} from './kit/testSystem.js';

const LODGE = '/services/lodging/claims';
const HOUR_MS = 3_600_000;
const RECEIPT = '{"receipt":17}';

const system = new TestSystem();
let ports: number[] = [];

beforeAll(async () => {
  await system.start(2);
  ports = [await system.startReadyEntry(), await system.startReadyEntry()];
});
afterEach(() => {
  system.setLogOutage('none');
  system.next.length = 0;
  system.nextResumes.length = 0;
  for (const agent of system.agents) {
    agent.fallback = lodge;
    agent.sealState = 'started';
  }
  system.takeCounts();
});
afterAll(() => system.stop());

const lodge: Behaviour = call => {
  if (call.afterSeq === undefined) call.agent.ran++;
  answerJson(call, RECEIPT);
};

function lodgeWith(
  key: string | undefined,
  {entry = 0, body = '{"claim":1}'} = {},
): Promise<HttpAnswer> {
  const headers: Record<string, string> = key ? {'idempotency-key': key} : {};
  return post(ports[entry]!, LODGE, {headers, body});
}

const summarize = ({status, outcome, code, text}: HttpAnswer) =>
  status === 200 ? [status, text] : [status, outcome, code];

describe('createEntry, requests that may not be repeated', () => {
  beforeAll(() => {
    for (const agent of system.agents) agent.fallback = lodge;
  });

  it.each([
    ['no key', undefined],
    ['a key that is no UUIDv7', '6f1c1d5e-0c3f-4a39-9d4a-9e1d8b3a7c11'],
    ['a key from the future', uuidV7({msecs: Date.now() + HOUR_MS})],
    ['a key past its horizon', uuidV7({msecs: Date.now() - HOUR_MS})],
  ])('runs nothing for %s', async (_name, key) => {
    expect(summarize(await lodgeWith(key))).toMatchSnapshot();
    expect(system.takeCounts().ran).toBe(0);
  });

  it('gives the recorded answer to a second caller at another entry', async () => {
    const key = uuidV7();
    const first = await lodgeWith(key);
    expect(summarize(first)).toEqual([200, RECEIPT]);
    // The record is appended after the answer; the second entry reads it from
    // the log.
    await eventually(async () =>
      summarize(await lodgeWith(key, {entry: 1})),
    ).toEqual([200, RECEIPT]);
    expect(system.takeCounts().ran).toBe(1);
  });

  // A client sends concurrent duplicates, and the load balancer picks two
  // entries. Both claim the key; the order in the log decides, and the loser
  // must not dispatch.
  it('runs one of many concurrent calls at two entries', async () => {
    const key = uuidV7();
    const calls = Array.from({length: 12}, (_, i) =>
      lodgeWith(key, {entry: i % 2}),
    );
    const answers = (await Promise.all(calls)).map(summarize);
    expect(answers).toContainEqual([200, RECEIPT]);
    const inProgress = [409, 'unknown', 'key_in_progress'];
    for (const answer of answers) {
      expect([[200, RECEIPT], inProgress]).toContainEqual(answer);
    }
    expect(system.takeCounts().ran).toBe(1);
  });

  it('refuses a different request with the same key', async () => {
    const key = uuidV7();
    await lodgeWith(key);
    await eventually(async () =>
      summarize(await lodgeWith(key, {body: '{"claim":2}'})),
    ).toEqual([422, 'not-run', 'key_reused']);
    expect(system.takeCounts().ran).toBe(1);
  });

  // The agent runs the request and its response is lost. The agent stores the
  // answer, and the entry must fetch it instead of running the request again.
  it('fetches the stored answer when the first response was lost', async () => {
    system.next.push(runThenDropConnection);
    expect(summarize(await lodgeWith(uuidV7()))).toEqual([200, RECEIPT]);
    const {ran, calls, resumes} = system.takeCounts();
    expect([ran, calls, resumes]).toEqual([1, 1, 1]);
  });

  // The response is lost and the agent doesn't return. The request may have
  // run, so the caller and later calls must get "unknown", and nothing may run
  // again.
  it('reports unknown and never runs again when the answer is lost', async () => {
    const key = uuidV7();
    for (const agent of system.agents) {
      agent.fallback = call =>
        call.afterSeq === undefined
          ? runThenDropConnection(call)
          : dropConnection(call);
    }
    const first = await lodgeWith(key);
    expect(summarize(first)).toEqual([502, 'unknown', 'outcome_unknown']);
    for (const agent of system.agents) agent.fallback = lodge;
    await eventually(async () =>
      summarize(await lodgeWith(key, {entry: 1})),
    ).toEqual([409, 'unknown', 'key_outcome_unknown']);
    expect(system.takeCounts().ran).toBe(1);
  });

  it('tries another agent when the first one did not run it', async () => {
    system.next.push(refuse('busy', 429));
    expect(summarize(await lodgeWith(uuidV7()))).toEqual([200, RECEIPT]);
    expect(system.takeCounts().calls).toBe(2);
  });

  // The agent crashes before the call reaches it, and its successor's seal
  // proves that. The entry must retry, since another agent can run the request.
  it('tries another agent when the seal proves that nothing ran', async () => {
    for (const agent of system.agents) agent.sealState = 'never-started';
    system.next.push(dropConnection);
    system.nextResumes.push(refuse('unknown-attempt', 404, 'unknown'));
    expect(summarize(await lodgeWith(uuidV7()))).toEqual([200, RECEIPT]);
    const {ran, calls} = system.takeCounts();
    expect([ran, calls]).toEqual([1, 2]);
  });

  // The log becomes unavailable during the request, so its outcome can't be
  // recorded yet. The entry that ran it must still answer from its own state.
  it('answers a second call from its own run while the log is down', async () => {
    const key = uuidV7();
    system.next.push(call => {
      system.setLogOutage('refuse');
      lodge(call);
    });
    expect(summarize(await lodgeWith(key))).toEqual([200, RECEIPT]);
    expect(summarize(await lodgeWith(key))).toEqual([200, RECEIPT]);
    // The log client stops after some retries. The entry must go on, or the
    // outcome would stay unknown at all other entries.
    const retriesExhausted =
      /event=claim-note-failed kind=finished .*attempt=5/;
    await eventually(() =>
      retriesExhausted.test(system.logLines.join('\n')),
    ).toBe(true);
    system.setLogOutage('none');
    await eventually(async () =>
      summarize(await lodgeWith(key, {entry: 1})),
    ).toEqual([200, RECEIPT]);
    expect(system.takeCounts().ran).toBe(1);
  });

  // If nothing ran, the key must be released, so that the caller can retry with
  // the same key.
  it('releases the key of a request that never ran', async () => {
    const key = uuidV7();
    for (const agent of system.agents) agent.fallback = refuse('busy', 429);
    const refused = summarize(await lodgeWith(key));
    expect(refused).toEqual([503, 'not-run', 'agent_refused']);
    for (const agent of system.agents) agent.fallback = lodge;
    await eventually(async () =>
      summarize(await lodgeWith(key, {entry: 1})),
    ).toEqual([200, RECEIPT]);
    expect(system.takeCounts().ran).toBe(1);
  });

  it.each(['refuse', 'cut'] as const)(
    'refuses immediately while the log is down (%s)',
    async outage => {
      system.setLogOutage(outage);
      const answer = await lodgeWith(uuidV7());
      expect(summarize(answer)).toEqual([503, 'unknown', 'log_unavailable']);
      expect(Number(answer.retryAfter)).toBeGreaterThan(0);
      expect(system.takeCounts().ran).toBe(0);
    },
  );

  it('claims the key although the response to the append was lost', async () => {
    system.log.state.faults.set({loseNextAppendAnswers: 1});
    expect(summarize(await lodgeWith(uuidV7()))).toEqual([200, RECEIPT]);
    expect(system.takeCounts().ran).toBe(1);
  });

  // The caller disconnects during the request and retries. The first call must
  // run to completion, or its outcome would never be known.
  it('completes the run when the caller disconnects', async () => {
    const key = uuidV7();
    const abort = new AbortController();
    let call: AttemptCall | undefined;
    system.next.push(taken => {
      call = taken;
      abort.abort();
    });
    const gone = fetch(`http://127.0.0.1:${ports[0]}${LODGE}`, {
      method: 'POST',
      headers: {
        authorization: 'Bearer counter-key',
        'idempotency-key': key,
        'content-type': 'application/json',
      },
      body: '{"claim":1}',
      signal: abort.signal,
    });
    await expect(gone).rejects.toThrow();
    await eventually(async () => summarize(await lodgeWith(key))).toEqual([
      409,
      'unknown',
      'key_in_progress',
    ]);
    lodge(call!);
    await eventually(async () =>
      summarize(await lodgeWith(key, {entry: 1})),
    ).toEqual([200, RECEIPT]);
    expect(system.takeCounts().ran).toBe(1);
  });

  it('still serves repeatable requests while the log is down', async () => {
    system.setLogOutage('refuse');
    for (const agent of system.agents) agent.fallback = answerWhole;
    const answer = await post(ports[0]!, '/v1/chat/completions');
    expect(answer.status).toBe(200);
  });

  // One entry is disconnected from the log. The request runs through another
  // entry, its response is lost, and the caller retries at the disconnected
  // one. With "not-run" the caller would wrongly conclude that nothing was
  // done.
  it('never reports not-run for a key that ran at another entry', async () => {
    const log = system.disconnectableLog();
    ports = [...ports.slice(0, 2), await system.startReadyEntry({}, log)];
    const key = uuidV7();
    log.isDisconnected = true;
    expect(summarize(await lodgeWith(key))).toEqual([200, RECEIPT]);
    const answer = await lodgeWith(key, {entry: 2});
    expect(summarize(answer)).toEqual([503, 'unknown', 'log_unavailable']);
    expect(system.takeCounts().ran).toBe(1);
  });

  // An entry that starts during a log outage has never read the claims. It
  // can't rule out an earlier run of the key, so "not-run" could be wrong.
  it('reports unknown where the claims were never read', async () => {
    system.setLogOutage('refuse');
    const lateEntryPort = await system.startReadyEntry();
    ports = [...ports.slice(0, 2), lateEntryPort];
    const answer = await lodgeWith(uuidV7(), {entry: 2});
    expect(summarize(answer)).toEqual([503, 'unknown', 'log_unavailable']);
  });
});
