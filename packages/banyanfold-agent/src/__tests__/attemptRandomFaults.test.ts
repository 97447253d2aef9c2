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

const stops: Array<() => Promise<void>> = [];
afterEach(async () => {
  for (const stop of stops.splice(0)) await stop();
});

type Target = Awaited<ReturnType<typeof startTestAgent>>;

interface Told {
  attemptId: string;
  notRun: boolean;
  /** The text of an answer that came whole, and what it should be. */
  text?: string;
  expected?: string;
}

function setFaults(target: Target, random: () => number): void {
  const eventNumber = () => Math.floor(random() * MAX_TOKENS);
  const choices = [
    {failNextRequests: 1},
    {faultyStreams: 3, cutStreamAfterEvents: eventNumber()},
    {faultyStreams: 3, endStreamAfterEvents: eventNumber()},
    {faultyStreams: 3, doubleEvent: 1 + eventNumber()},
    {faultyStreams: 3, crossAfterEvents: 1 + eventNumber()},
    {faultyStreams: 0},
  ];
  const none = {
    cutStreamAfterEvents: null,
    endStreamAfterEvents: null,
    doubleEvent: null,
    crossAfterEvents: null,
  };
  const chosen = choices[Math.floor(random() * choices.length)];
  target.engine.state.faults.set({...none, ...chosen});
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Every fourth caller waits as long as it takes, so that some are answered. */
async function attempt(
  target: Target,
  random: () => number,
  index: number,
): Promise<Told> {
  const isPatient = index % 4 === 0;
  await pause(random() * 300);
  if (random() < 0.2) setFaults(target, random);
  const attemptId = randomUUID();
  const {incarnation} = await target.agent.handlers.report();
  const messages = [{role: 'user', content: attemptId}];
  const stream = random() < 0.6;
  const abort = new AbortController();
  const isSealing = !isPatient && random() < 0.4;
  const sealAfterMs = isSealing ? random() * 60 : undefined;
  if (!isPatient && random() < 0.2) {
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
        isPatient ? 50_000 : 60 + random() * 600,
      ),
    },
  });
  const answered = sent.then(
    ({response}) => readAnswer(response, stream),
    () => ({notRun: false}),
  );
  let isSealed = false;
  if (sealAfterMs !== undefined) {
    await pause(sealAfterMs);
    const {state} = await target.client.seal.mutate({attemptId, incarnation});
    isSealed = state === 'never-started';
  }
  const answer = await answered;
  const prompt = renderPrompt(messages);
  return {
    attemptId,
    ...answer,
    notRun: answer.notRun || isSealed,
    expected: expectedText(MODEL, prompt, MAX_TOKENS),
  };
}

async function readAnswer(
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
  const answer = JSON.parse(text) as {
    choices: Array<{message: {content: string}}>;
  };
  return {notRun, text: answer.choices[0]?.message.content};
}

// Many callers at once, few slots: attempts wait, are sealed, refused as late,
// given up by their entry, and meet faults of the engine, in any order. Those
// that were told "not run" must be unknown to the engine, and each answer that
// ended cleanly must be whole and the caller's own.
describe('what callers are told', () => {
  it.each(SEEDS)('is true (seed %i)', async seed => {
    const target = await startTestAgent({
      engine: {baseStepMs: 4},
      settings: {maxRunning: 3, maxQueued: 20},
    });
    stops.push(target.stop);
    const random = createRandom(seed);
    const told = await Promise.all(
      Array.from({length: ATTEMPTS}, (_, index) =>
        attempt(target, random, index),
      ),
    );
    const ran = target.engine.state.truth
      .ofKind('request-received')
      .map(({requestId}) => String(requestId).split('.')[1]);
    const lies = told.filter(
      ({attemptId, notRun}) => notRun && ran.includes(attemptId),
    );
    expect(lies).toEqual([]);
    const wrong = told.filter(
      ({text, expected}) => text !== undefined && text !== expected,
    );
    expect(wrong).toEqual([]);
    // The mix is one that meets both.
    expect(told.filter(({notRun}) => notRun)).not.toEqual([]);
    expect(told.filter(({text}) => text !== undefined)).not.toEqual([]);
  });
});
