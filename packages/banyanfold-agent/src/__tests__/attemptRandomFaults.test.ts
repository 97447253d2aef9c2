import {randomUUID} from 'node:crypto';
import {HEADERS} from '@banyanfold/protocol';
import {createRandom, expectedText, renderPrompt} from '@banyanfold/standins';
import {afterEach, describe, expect, it} from 'vitest';
import {
  chatBody,
  MODEL,
  readFrames,
  readUntilCut,
  sendAttempt,
  startTestAgent,
} from './testAgent.js';

const SEEDS = [1, 2, 3, 4, 5];
const ATTEMPTS = 60;
const MAX_TOKENS = 12;

const cleanups: Array<() => Promise<void>> = [];
afterEach(async () => {
  for (const cleanup of cleanups.splice(0)) await cleanup();
});

type Target = Awaited<ReturnType<typeof startTestAgent>>;

interface ReportedOutcome {
  attemptId: string;
  notRun: boolean;
  /** The text of a complete response, and the expected text. */
  text?: string;
  expected?: string;
}

function setFaults(target: Target, random: () => number): void {
  const eventNumber = () => Math.floor(random() * MAX_TOKENS);
  const variants = [
    {failNextRequests: 1},
    {faultyStreams: 3, cutStreamAfterEvents: eventNumber()},
    {faultyStreams: 3, endStreamAfterEvents: eventNumber()},
    {faultyStreams: 3, doubleEvent: 1 + eventNumber()},
    {faultyStreams: 3, crossAfterEvents: 1 + eventNumber()},
    {faultyStreams: 0},
  ];
  const noFaults = {
    cutStreamAfterEvents: null,
    endStreamAfterEvents: null,
    doubleEvent: null,
    crossAfterEvents: null,
  };
  const faults = variants[Math.floor(random() * variants.length)];
  target.engine.state.faults.set({...noFaults, ...faults});
}

function delay(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Every fourth caller has a long budget, so that some attempts complete. */
async function runAttempt(
  target: Target,
  random: () => number,
  index: number,
): Promise<ReportedOutcome> {
  const hasLongBudget = index % 4 === 0;
  await delay(random() * 300);
  if (random() < 0.2) setFaults(target, random);
  const attemptId = randomUUID();
  const {incarnation} = await target.agent.handlers.report();
  const messages = [{role: 'user', content: attemptId}];
  const stream = random() < 0.6;
  const abort = new AbortController();
  const isSealing = !hasLongBudget && random() < 0.4;
  const sealAfterMs = isSealing ? random() * 60 : undefined;
  if (!hasLongBudget && random() < 0.2) {
    setTimeout(() => abort.abort(), random() * 60);
  }
  const sent = sendAttempt(target, {
    attemptId,
    incarnation: index % 20 === 1 ? 99 : incarnation,
    signal: abort.signal,
    body: chatBody({stream, messages, max_tokens: MAX_TOKENS}),
    headers: {
      [HEADERS.priority]: String(Math.floor(random() * 9)),
      [HEADERS.firstTokenBudgetMs]: String(
        hasLongBudget ? 50_000 : 60 + random() * 600,
      ),
    },
  });
  const reading = sent.then(
    ({response}) => readResponse(response, stream),
    () => ({notRun: false}),
  );
  let isSealed = false;
  if (sealAfterMs !== undefined) {
    await delay(sealAfterMs);
    const {state} = await target.client.seal.mutate({attemptId, incarnation});
    isSealed = state === 'never-started';
  }
  const response = await reading;
  const prompt = renderPrompt(messages);
  return {
    attemptId,
    ...response,
    notRun: response.notRun || isSealed,
    expected: expectedText(MODEL, prompt, MAX_TOKENS),
  };
}

async function readResponse(
  response: Awaited<ReturnType<typeof sendAttempt>>['response'],
  stream: boolean,
): Promise<{notRun: boolean; text?: string}> {
  const notRun = response.headers[HEADERS.outcome] === 'not-run';
  const {text, cut} = await readUntilCut(response.body);
  if (cut || response.statusCode !== 200) return {notRun};
  if (stream) {
    const {content, done} = readFrames(text);
    return {notRun, text: done ? content : 'ended without its end marker'};
  }
  const body = JSON.parse(text) as {
    choices: Array<{message: {content: string}}>;
  };
  return {notRun, text: body.choices[0]?.message.content};
}

// Many concurrent callers share few slots. Attempts are queued, sealed, refused
// as late, aborted by their entry and hit by engine faults, in random order.
// The engine must not have received any attempt reported as "not run", and each
// response that ended cleanly must be complete and belong to its caller.
describe('outcomes reported to callers', () => {
  it.each(SEEDS)('are correct (seed %i)', async seed => {
    const target = await startTestAgent({
      engine: {baseStepMs: 4},
      settings: {maxRunning: 3, maxQueued: 20},
    });
    cleanups.push(target.stop);
    const random = createRandom(seed);
    const outcomes = await Promise.all(
      Array.from({length: ATTEMPTS}, (_, index) =>
        runAttempt(target, random, index),
      ),
    );
    const executedIds = target.engine.state.truth
      .ofKind('request-received')
      .map(({requestId}) => String(requestId).split('.')[1]);
    const falseNotRun = outcomes.filter(
      ({attemptId, notRun}) => notRun && executedIds.includes(attemptId),
    );
    expect(falseNotRun).toEqual([]);
    const wrongTexts = outcomes.filter(
      ({text, expected}) => text !== undefined && text !== expected,
    );
    expect(wrongTexts).toEqual([]);
    // The random mix must contain both cases.
    expect(outcomes.filter(({notRun}) => notRun)).not.toEqual([]);
    expect(outcomes.filter(({text}) => text !== undefined)).not.toEqual([]);
  });
});
