import {v7 as uuidV7} from 'uuid';
import {afterEach, describe, expect, it} from 'vitest';
import {answerJson, refuse} from './kit/behaviours.js';
import {CONFIG, TestSystem, post} from './kit/testSystem.js';

const RECEIPT = '{"receipt":17}';
/** Over before any request is routed, as after a stall of the process. */
const SPENT_MS = 0.001;

const system = new TestSystem();
afterEach(() => system.stop());

// Guards against calls of a service that are refused while its servers are idle,
// because their first attempt outlasted a target that is meant for streams.
describe('createEntry, a call of a service after a slow first attempt', () => {
  it('goes to another agent while its whole answer has time', async () => {
    const targets = {
      firstTokenMs: SPENT_MS,
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
