import {HEADERS} from '@banyanfold/protocol';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {sendAttempt, startTestAgent} from './testAgent.js';

type TestAgent = Awaited<ReturnType<typeof startTestAgent>>;

describe('createAgent, an attempt with an invalid header', () => {
  let target: TestAgent;
  beforeAll(async () => {
    target = await startTestAgent();
  });
  afterAll(() => target.stop());

  // An entry of another release sends a header that this agent can't parse.
  // Without the attempt id in the refusal, the entry would take it for a
  // response to another attempt, retry elsewhere and report "unknown" to its
  // caller instead of the invalid header.
  it.each([
    [HEADERS.priority, 'high'],
    [HEADERS.maxTokens, '-1'],
    [HEADERS.incarnation, 'x'],
  ])('names %s and echoes the attempt id', async (name, value) => {
    const headers = {[name]: value};
    const {attemptId, response} = await sendAttempt(target, {headers});
    const {error} = (await response.body.json()) as {error: {message: string}};
    expect(response.statusCode).toBe(400);
    expect(response.headers[HEADERS.attemptId]).toBe(attemptId);
    expect(response.headers[HEADERS.outcome]).toBe('not-run');
    expect(error.message).toContain(name);
  });
});
