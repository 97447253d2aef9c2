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

const short = ({status, outcome, code, text}: HttpAnswer) =>
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
    expect(short(await lodgeWith(key))).toMatchSnapshot();
    expect(system.takeCounts().ran).toBe(0);
  });

  it('gives the recorded answer to a second caller at another entry', async () => {
    const key = uuidV7();
    const first = await lodgeWith(key);
    expect(short(first)).toEqual([200, RECEIPT]);
    // The record follows the answer; the second entry reads it from the log.
    await eventually(async () =>
      short(await lodgeWith(key, {entry: 1})),
    ).toEqual([200, RECEIPT]);
    expect(system.takeCounts().ran).toBe(1);
  });

  // The member's phone sends twice at once, and the balancer picks two
  // entries. Both claim; the log's order decides; the loser must not dispatch.
  it('runs one of many calls that come at once at two entries', async () => {
    const key = uuidV7();
    const calls = Array.from({length: 12}, (_, i) =>
      lodgeWith(key, {entry: i % 2}),
    );
    const answers = (await Promise.all(calls)).map(short);
    expect(answers).toContainEqual([200, RECEIPT]);
    const inProgress = [409, 'unknown', 'key_in_progress'];
    for (const answer of answers) {
      expect([[200, RECEIPT], inProgress]).toContainEqual(answer);
    }
    expect(system.takeCounts().ran).toBe(1);
  });

  it('keeps the answer from another request under the same key', async () => {
    const key = uuidV7();
    await lodgeWith(key);
    await eventually(async () =>
      short(await lodgeWith(key, {body: '{"claim":2}'})),
    ).toEqual([422, 'not-run', 'key_reused']);
    expect(system.takeCounts().ran).toBe(1);
  });

  // The agent lodges the claim and its answer is lost. It keeps the answer,
  // and the entry comes back for it instead of lodging again.
  it('fetches the kept answer when the first one was lost', async () => {
    system.next.push(runThenDropConnection);
    expect(short(await lodgeWith(uuidV7()))).toEqual([200, RECEIPT]);
    const {ran, calls, resumes} = system.takeCounts();
    expect([ran, calls, resumes]).toEqual([1, 1, 1]);
  });

  // As before, but the agent is gone for good. The claim may be lodged, so the
  // caller hears "unknown", nothing runs again, and a later call is told so.
  it('says unknown and never runs again when the answer is gone', async () => {
    const key = uuidV7();
    for (const agent of system.agents) {
      agent.fallback = call =>
        call.afterSeq === undefined
          ? runThenDropConnection(call)
          : dropConnection(call);
    }
    const first = await lodgeWith(key);
    expect(short(first)).toEqual([502, 'unknown', 'outcome_unknown']);
    for (const agent of system.agents) agent.fallback = lodge;
    await eventually(async () =>
      short(await lodgeWith(key, {entry: 1})),
    ).toEqual([409, 'unknown', 'key_outcome_unknown']);
    expect(system.takeCounts().ran).toBe(1);
  });

  it('tries another agent when the first is proved not to have run', async () => {
    system.next.push(refuse('busy', 429));
    expect(short(await lodgeWith(uuidV7()))).toEqual([200, RECEIPT]);
    expect(system.takeCounts().calls).toBe(2);
  });

  // The agent dies before the call reached it, and its successor's seal proves
  // that. Stopping there would refuse a claim that another agent can lodge.
  it('tries another agent when the seal proves that nothing ran', async () => {
    for (const agent of system.agents) agent.sealState = 'never-started';
    system.next.push(dropConnection);
    system.nextResumes.push(refuse('unknown-attempt', 404, 'unknown'));
    expect(short(await lodgeWith(uuidV7()))).toEqual([200, RECEIPT]);
    const {ran, calls} = system.takeCounts();
    expect([ran, calls]).toEqual([1, 2]);
  });

  // The log goes out while the claim is being lodged, so its outcome can't be
  // recorded yet. The entry that ran it knows it all the same.
  it('answers a second caller by its own run while the log is out', async () => {
    const key = uuidV7();
    system.next.push(call => {
      system.setLogOutage('refuse');
      lodge(call);
    });
    expect(short(await lodgeWith(key))).toEqual([200, RECEIPT]);
    expect(short(await lodgeWith(key))).toEqual([200, RECEIPT]);
    // After some tries the client of the log gives up; the entry must not, or
    // all others would call the outcome unknown for ever.
    const gaveUp = /event=claim-note-failed kind=finished .*attempt=5/;
    await eventually(() => gaveUp.test(system.logLines.join('\n'))).toBe(true);
    system.setLogOutage('none');
    await eventually(async () =>
      short(await lodgeWith(key, {entry: 1})),
    ).toEqual([200, RECEIPT]);
    expect(system.takeCounts().ran).toBe(1);
  });

  // Nothing was dispatched, so the key is given back: a caller who comes again
  // with it, as it was told to, must not find it taken for ever.
  it('gives back the key of a request that never ran', async () => {
    const key = uuidV7();
    for (const agent of system.agents) agent.fallback = refuse('busy', 429);
    const refused = short(await lodgeWith(key));
    expect(refused).toEqual([503, 'not-run', 'agent_refused']);
    for (const agent of system.agents) agent.fallback = lodge;
    await eventually(async () =>
      short(await lodgeWith(key, {entry: 1})),
    ).toEqual([200, RECEIPT]);
    expect(system.takeCounts().ran).toBe(1);
  });

  it.each(['refuse', 'cut'] as const)(
    'refuses at once while the log is out (%s)',
    async outage => {
      system.setLogOutage(outage);
      const answer = await lodgeWith(uuidV7());
      expect(short(answer)).toEqual([503, 'unknown', 'log_unavailable']);
      expect(Number(answer.retryAfter)).toBeGreaterThan(0);
      expect(system.takeCounts().ran).toBe(0);
    },
  );

  it('claims although the answer of the append was lost', async () => {
    system.log.state.faults.set({loseNextAppendAnswers: 1});
    expect(short(await lodgeWith(uuidV7()))).toEqual([200, RECEIPT]);
    expect(system.takeCounts().ran).toBe(1);
  });

  // The caller hangs up while its claim is being lodged, and comes again. The
  // first call must go on to its end, or nobody would ever know its outcome.
  it('runs to its end when the caller goes away', async () => {
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
    await eventually(async () => short(await lodgeWith(key))).toEqual([
      409,
      'unknown',
      'key_in_progress',
    ]);
    lodge(call!);
    await eventually(async () =>
      short(await lodgeWith(key, {entry: 1})),
    ).toEqual([200, RECEIPT]);
    expect(system.takeCounts().ran).toBe(1);
  });

  it('still serves requests that may be repeated while the log is out', async () => {
    system.setLogOutage('refuse');
    for (const agent of system.agents) agent.fallback = answerWhole;
    const answer = await post(ports[0]!, '/v1/chat/completions');
    expect(answer.status).toBe(200);
  });

  // One entry is cut off from the log. The claim is lodged through another one,
  // and its answer is lost; the caller comes again, to the entry that is cut
  // off. "Not run" would make the desk tell the member that nothing was lodged.
  it('never says not-run of a key that ran through another entry', async () => {
    const log = system.disconnectableLog();
    ports = [...ports.slice(0, 2), await system.startReadyEntry({}, log)];
    const key = uuidV7();
    log.isDisconnected = true;
    expect(short(await lodgeWith(key))).toEqual([200, RECEIPT]);
    const answer = await lodgeWith(key, {entry: 2});
    expect(short(answer)).toEqual([503, 'unknown', 'log_unavailable']);
    expect(system.takeCounts().ran).toBe(1);
  });

  // An entry starts in the outage and has never read the claims. An earlier
  // run of the key can't be ruled out there, so "not run" could be untrue.
  it('says unknown where the claims were never read', async () => {
    system.setLogOutage('refuse');
    const late = await system.startReadyEntry();
    ports = [...ports.slice(0, 2), late];
    const answer = await lodgeWith(uuidV7(), {entry: 2});
    expect(short(answer)).toEqual([503, 'unknown', 'log_unavailable']);
  });
});
