import {afterAll, beforeAll, beforeEach, describe, expect, it} from 'vitest';
import {
  CallerClient,
  Stack,
  countEnds,
  ofKind,
  testConfig,
  waitUntil,
  wrongAnswers,
  type ModelResult,
} from '../index.js';

const MODEL = 'claims';
const ARTIFACTS = () => [`${MODEL}@1`];
const MAX_TOKENS = 20;
const LONG_TOKENS = 400;
const CALLS_AT_ONCE = 6;

let stack: Stack;
let client: CallerClient;
let prompts = 0;

beforeAll(async () => {
  client = new CallerClient();
  stack = await Stack.start({
    agents: 2,
    engine: {baseStepMs: 5},
    agent: {engine: {streamIdleTimeoutMs: 2_000}},
    published: testConfig({models: [{name: MODEL, version: '1'}]}),
  });
  await waitUntil('it answers', async () => (await ask(true)).end === 'whole');
});

afterAll(async () => {
  await client.close();
  await stack.end();
});

beforeEach(async () => {
  for (const engine of ['engine-1', 'engine-2']) {
    await stack.setFaults(engine, NO_FAULTS);
  }
});

const NO_FAULTS = {
  faultyStreams: 0,
  cutStreamAfterEvents: null,
  endStreamAfterEvents: null,
  doubleEvent: null,
  crossAfterEvents: null,
  cutNextWholeAnswers: 0,
  crossNextWholeAnswers: 0,
  failNextRequests: 0,
};

function ask(stream: boolean, maxTokens = MAX_TOKENS): Promise<ModelResult> {
  const prompt = `whole answer ${prompts++}`;
  const call = {model: MODEL, prompt, maxTokens, stream};
  return client.askModel(stack.entryUrl(), call);
}

function askMany(stream: boolean, maxTokens?: number): Promise<ModelResult[]> {
  const calls = Array.from({length: CALLS_AT_ONCE}, () =>
    ask(stream, maxTokens),
  );
  return Promise.all(calls);
}

interface EngineFaultCase {
  name: string;
  stream: boolean;
  faults: object;
}

const FAULTY = {faultyStreams: 5};
const STREAM_FAULTS: Array<Omit<EngineFaultCase, 'stream'>> = [
  {name: 'cut at the start', faults: {...FAULTY, cutStreamAfterEvents: 0}},
  {name: 'cut in the middle', faults: {...FAULTY, cutStreamAfterEvents: 7}},
  {
    name: 'cut before [DONE]',
    faults: {...FAULTY, cutStreamAfterEvents: MAX_TOKENS + 1},
  },
  {
    name: 'ended cleanly in the middle',
    faults: {...FAULTY, endStreamAfterEvents: 7},
  },
  {
    name: 'ended cleanly before [DONE]',
    faults: {...FAULTY, endStreamAfterEvents: MAX_TOKENS + 1},
  },
  {name: 'an event doubled', faults: {...FAULTY, doubleEvent: 3}},
  {name: "another's event", faults: {...FAULTY, crossAfterEvents: 3}},
  {
    name: 'doubled and crossed, then cut',
    faults: {
      ...FAULTY,
      doubleEvent: 2,
      crossAfterEvents: 4,
      cutStreamAfterEvents: 6,
    },
  },
  {
    name: 'more cuts than an agent resumes',
    faults: {faultyStreams: 1_000, cutStreamAfterEvents: 0},
  },
];

const WHOLE_FAULTS: Array<Omit<EngineFaultCase, 'stream'>> = [
  {name: 'a whole answer cut', faults: {cutNextWholeAnswers: 4}},
  {name: "another's whole answer", faults: {crossNextWholeAnswers: 4}},
  {name: 'a failed request', faults: {failNextRequests: 4}},
];

const ENGINE_FAULTS: EngineFaultCase[] = [
  ...STREAM_FAULTS.map(testCase => ({...testCase, stream: true})),
  ...WHOLE_FAULTS.map(testCase => ({...testCase, stream: false})),
];

async function setFaults(faults: object): Promise<void> {
  await stack.setFaults('engine-1', faults);
  await stack.setFaults('engine-2', faults);
}

async function startedCount(): Promise<number> {
  const truths = [await stack.truth('engine-1'), await stack.truth('engine-2')];
  return ofKind(truths.flat(), 'request-started').length;
}

/** Asks for long streams and waits until an engine has started some. */
async function streamsUnderWay(): Promise<{answers: Promise<ModelResult[]>}> {
  const before = await startedCount();
  const answers = askMany(true, LONG_TOKENS);
  let ended: ModelResult[] | undefined;
  void answers.then(results => (ended = results));
  await waitUntil('streams run', async () => {
    if (ended) throw new Error(`none ran: ${JSON.stringify(countEnds(ended))}`);
    return (await startedCount()) > before;
  });
  return {answers};
}

describe('an answer', () => {
  // The caller sees the text that the engine made for it, from the first token
  // to the last, or an error it can't miss. The engine's connection breaks, ends
  // as if all were said, or brings an event twice or of another request; the
  // agent knows by the event numbers and ids, and resumes where it was.
  it.each(ENGINE_FAULTS)('is whole or an error: $name', async testCase => {
    await setFaults(testCase.faults);
    const results = await askMany(testCase.stream);
    expect(wrongAnswers(results, ARTIFACTS)).toEqual([]);
    await setFaults(NO_FAULTS);
    await waitUntil('an answer is whole again', async () => {
      const {end} = await ask(testCase.stream);
      return end === 'whole';
    });
  });

  // The caller sees its stream go on, or break off with an error. Its agent is
  // killed in the middle of the answer and another process starts in its place,
  // under another incarnation, that never heard of the request; it finds the
  // stream at the engine by the ids that the entry sends again.
  it('is whole or an error when its agent is killed', async () => {
    const results: ModelResult[] = [];
    for (const {vmId} of stack.agents) {
      const {answers} = await streamsUnderWay();
      await stack.kill(vmId);
      await stack.restart(vmId);
      results.push(...(await answers));
      expect(wrongAnswers(results, ARTIFACTS)).toEqual([]);
      await waitUntil(
        'it answers',
        async () => (await ask(true)).end === 'whole',
      );
    }
    console.log('agents killed in mid-stream', countEnds(results));
    expect(results.length).toBe(2 * CALLS_AT_ONCE);
  });

  // The caller sees its stream break off, never end. Its agent is killed and no
  // other process takes its place, so that the entry's tries to come back for
  // the rest are used up.
  it('is an error when its agent stays away', async () => {
    const {answers} = await streamsUnderWay();
    await Promise.all(stack.agents.map(({vmId}) => stack.kill(vmId)));
    const results = await answers;
    await Promise.all(stack.agents.map(({vmId}) => stack.restart(vmId)));
    expect(wrongAnswers(results, ARTIFACTS)).toEqual([]);
    console.log('agents away', countEnds(results));
    await waitUntil(
      'it answers',
      async () => (await ask(true)).end === 'whole',
    );
  });

  // The caller sees its stream break off, never end. Its entry is killed, and
  // with it all that was known of the answer; the connection breaks without the
  // end of the body.
  it('is an error when its entry is killed', async () => {
    const {answers} = await streamsUnderWay();
    await stack.kill('entry-1');
    const results = await answers;
    await stack.restart('entry-1');
    await stack.ready();
    expect(wrongAnswers(results, ARTIFACTS)).toEqual([]);
    expect(results.filter(({end}) => end === 'broken').length).toBe(
      CALLS_AT_ONCE,
    );
  });
});
