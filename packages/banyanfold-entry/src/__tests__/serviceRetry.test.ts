import {v7 as uuidV7} from 'uuid';
import {afterEach, describe, expect, it} from 'vitest';
import {answerJson, refuse} from './kit/behaviours.js';
import {CONFIG, TestSystem, post} from './kit/testSystem.js';

const RECEIPT = '{"receipt":17}';
/** Expires before any request is routed, as after a stall of the process. */
const EXPIRED_MS = 0.001;

const system = new TestSystem();
afterEach(() => system.stop());

// Guards against refusing a service call while servers are idle, because its
// first attempt outlasted the first-token target, which is meant for streams.
describe('createEntry, a service call after a slow first attempt', () => {
  it('retries on another agent within the deadline of the whole answer', async () => {
    const targets = {
      firstTokenMs: EXPIRED_MS,
      betweenTokensMs: 41,
      wholeAnswerMs: 10_000,
    };
    const selectors = CONFIG.selectors.map(selector => ({
      ...selector,
      targets,
    }));
    await system.start(2, {...CONFIG, selectors});
    const port = await system.startReadyEntry();
    for (const agent of system.agents) {
      agent.fallback = call => answerJson(call, RECEIPT);
    }
    system.next.push(refuse('busy', 429));
    const headers = {'idempotency-key': uuidV7()};
    const path = '/services/lodging/claims';
    const answer = await post(port, path, {headers, body: '{}'});
    expect([answer.status, answer.text]).toEqual([200, RECEIPT]);
    expect(system.takeCounts().calls).toBe(2);
  });
});
