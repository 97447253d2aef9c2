import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import {
  ANSWER_TEXT,
  dropConnection,
  runThenDropConnection,
  frame,
  framesOf,
  refuse,
  sendFrames,
  writeStreamHead,
} from './kit/behaviours.js';
import type {AttemptCall, Behaviour} from './kit/fakeAgent.js';
import {CALLER_KEY, CHAT, TestSystem, openaiClient} from './kit/testSystem.js';

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
});
afterAll(() => system.stop());

const firstFrame = (call: AttemptCall) => framesOf(call).slice(0, 1);
const otherAttempt = {attemptId: 'another', requestId: 'another'};
const unknownAttempt = refuse('unknown-attempt', 404, 'unknown');

interface FaultCase {
  name: string;
  first: Behaviour;
  resumes?: Behaviour[];
  calls: number;
  resumed: number;
}

/** Faults that must not affect the answer that the caller receives. */
const RECOVERABLE_FAULTS: FaultCase[] = [
  {
    name: 'events of another attempt among its own',
    first: sendFrames(call => {
      const [a, b, ...rest] = framesOf(call);
      return [a!, framesOf(otherAttempt)[1]!, b!, ...rest];
    }),
    calls: 1,
    resumed: 0,
  },
  {
    name: 'events that are sent twice',
    first: sendFrames(call => framesOf(call).flatMap(text => [text, text])),
    calls: 1,
    resumed: 0,
  },
  {
    name: 'an event that is repeated later',
    first: sendFrames(call => {
      const frames = framesOf(call);
      return [...frames.slice(0, 3), frames[0]!, ...frames.slice(3)];
    }),
    calls: 1,
    resumed: 0,
  },
  {
    name: 'a missing event',
    first: sendFrames(call => framesOf(call).toSpliced(1, 1)),
    calls: 1,
    resumed: 1,
  },
  {
    name: 'a clean end without the end marker',
    first: sendFrames(call => framesOf(call).slice(0, -1)),
    calls: 1,
    resumed: 1,
  },
  {
    name: 'an agent that dies after the first event',
    first: sendFrames(firstFrame, dropConnection),
    calls: 1,
    resumed: 1,
  },
  {
    name: 'an agent that dies inside an event',
    first: sendFrames(
      call => [...firstFrame(call), framesOf(call)[1]!.slice(0, -9)],
      dropConnection,
    ),
    calls: 1,
    resumed: 1,
  },
  {
    name: 'an event without an id',
    first: sendFrames(call => [
      ...firstFrame(call),
      'data: {"choices":[]}\n\n',
    ]),
    calls: 1,
    resumed: 1,
  },
  {
    name: 'a resumed stream that restarts from the first event',
    first: sendFrames(firstFrame, dropConnection),
    resumes: [sendFrames(call => framesOf(call))],
    calls: 1,
    resumed: 1,
  },
  {
    name: 'an agent that dies twice',
    first: sendFrames(firstFrame, dropConnection),
    resumes: [sendFrames(call => framesOf(call).slice(1, 2), dropConnection)],
    calls: 1,
    resumed: 2,
  },
  {
    name: 'a resume answered with the id of another attempt',
    first: sendFrames(firstFrame, dropConnection),
    resumes: [
      call => {
        writeStreamHead(call, 'another');
        call.res.end(framesOf(otherAttempt).join(''));
      },
    ],
    calls: 1,
    resumed: 2,
  },
  {
    name: 'an agent that hangs on the resume',
    first: sendFrames(firstFrame, dropConnection),
    resumes: [() => {}],
    calls: 1,
    resumed: 2,
  },
  {
    name: 'an agent that stops sending within its stream',
    first: sendFrames(firstFrame, () => {}),
    calls: 1,
    resumed: 1,
  },
  {
    name: 'an agent that dies before it answers',
    first: runThenDropConnection,
    calls: 2,
    resumed: 0,
  },
  {
    name: 'an agent that dies after its headers',
    first: sendFrames(() => [], dropConnection),
    calls: 2,
    resumed: 0,
  },
  {
    name: 'an agent that refuses',
    first: refuse('busy', 429),
    calls: 2,
    resumed: 0,
  },
  {
    name: 'an answer to another attempt',
    first: call => {
      writeStreamHead(call, 'another');
      call.res.end(framesOf(otherAttempt).join(''));
    },
    calls: 2,
    resumed: 0,
  },
];

async function streamedText(): Promise<string> {
  const request = {...CHAT, stream: true as const};
  const stream = await openaiClient(port).chat.completions.create(request);
  let text = '';
  for await (const chunk of stream) {
    text += chunk.choices[0]?.delta.content ?? '';
  }
  return text;
}

describe('createEntry, streams that break', () => {
  // The fake agent sends the fault in its first answer and answers correctly
  // after a resume or in another attempt. The caller must receive the complete
  // answer, not a wrong, short or repeated text.
  it.each(RECOVERABLE_FAULTS)(
    'recovers from $name',
    async ({first, resumes, calls, resumed}) => {
      system.next.push(first);
      system.nextResumes.push(...(resumes ?? []));
      expect(await streamedText()).toBe(ANSWER_TEXT);
      const counts = system.takeCounts();
      expect([counts.calls, counts.resumes]).toEqual([calls, resumed]);
    },
  );

  it.each([
    ['the agent no longer has it', [unknownAttempt]],
    [
      'no resume returns a further event',
      Array<Behaviour>(10).fill(runThenDropConnection),
    ],
  ])(
    'never ends an incomplete stream cleanly when %s',
    // The agent dies for good after the first event. The caller must receive an
    // error and a broken connection, because most clients take a clean end for
    // the end of the answer and would present half an answer as complete.
    async (_name, resumes) => {
      system.next.push(sendFrames(firstFrame, dropConnection));
      system.nextResumes.push(...resumes);
      const {text, interrupted} = await readRaw();
      expect(interrupted).toBe(true);
      expect(text).toContain('You ');
      expect(text).toContain('"outcome":"unknown"');
      expect(text).not.toContain('[DONE]');
    },
  );

  it('raises an error in the openai client for a broken stream', async () => {
    system.next.push(sendFrames(firstFrame, dropConnection));
    system.nextResumes.push(unknownAttempt);
    await expect(streamedText()).rejects.toThrow('the answer broke off');
  });

  it('sends nothing after the end marker', async () => {
    system.next.push(
      sendFrames(call => [
        ...framesOf(call),
        frame(call.attemptId, 9, '{"after":"the end"}'),
      ]),
    );
    const {text, interrupted} = await readRaw();
    expect(interrupted).toBe(false);
    expect(text.endsWith('data: [DONE]\n\n')).toBe(true);
  });
});

/** Reads a stream to its end, clean or not. */
async function readRaw(): Promise<{text: string; interrupted: boolean}> {
  const response = await fetch(`http://127.0.0.1:${port}/v1/chat/completions`, {
    method: 'POST',
    headers: {authorization: `Bearer ${CALLER_KEY}`},
    body: JSON.stringify({...CHAT, stream: true}),
  });
  const decoder = new TextDecoder();
  let text = '';
  try {
    for await (const chunk of response.body!) text += decoder.decode(chunk);
    return {text, interrupted: false};
  } catch {
    return {text, interrupted: true};
  }
}
