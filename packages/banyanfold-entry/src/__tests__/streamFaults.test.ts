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

const first = (call: AttemptCall) => framesOf(call).slice(0, 1);
const foreign = {attemptId: 'another', requestId: 'another'};
const gone = refuse('unknown-attempt', 404, 'unknown');

interface FaultCase {
  name: string;
  first: Behaviour;
  resumes?: Behaviour[];
  calls: number;
  resumed: number;
}

/** Faults that the caller must not notice. */
const MENDED: FaultCase[] = [
  {
    name: "frames of another's attempt among its own",
    first: sendFrames(call => {
      const [a, b, ...rest] = framesOf(call);
      return [a!, framesOf(foreign)[1]!, b!, ...rest];
    }),
    calls: 1,
    resumed: 0,
  },
  {
    name: 'frames that come twice',
    first: sendFrames(call => framesOf(call).flatMap(text => [text, text])),
    calls: 1,
    resumed: 0,
  },
  {
    name: 'an early frame that comes late again',
    first: sendFrames(call => {
      const frames = framesOf(call);
      return [...frames.slice(0, 3), frames[0]!, ...frames.slice(3)];
    }),
    calls: 1,
    resumed: 0,
  },
  {
    name: 'a frame that is missing',
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
    first: sendFrames(first, dropConnection),
    calls: 1,
    resumed: 1,
  },
  {
    name: 'an agent that dies inside an event',
    first: sendFrames(
      call => [...first(call), framesOf(call)[1]!.slice(0, -9)],
      dropConnection,
    ),
    calls: 1,
    resumed: 1,
  },
  {
    name: 'a frame without its id',
    first: sendFrames(call => [...first(call), 'data: {"choices":[]}\n\n']),
    calls: 1,
    resumed: 1,
  },
  {
    name: 'a resumed stream that begins again from the start',
    first: sendFrames(first, dropConnection),
    resumes: [sendFrames(call => framesOf(call))],
    calls: 1,
    resumed: 1,
  },
  {
    name: 'an agent that dies twice',
    first: sendFrames(first, dropConnection),
    resumes: [sendFrames(call => framesOf(call).slice(1, 2), dropConnection)],
    calls: 1,
    resumed: 2,
  },
  {
    name: 'a resume that is answered with the wrong echo',
    first: sendFrames(first, dropConnection),
    resumes: [
      call => {
        writeStreamHead(call, 'another');
        call.res.end(framesOf(foreign).join(''));
      },
    ],
    calls: 1,
    resumed: 2,
  },
  {
    name: 'an agent that takes the resume and hangs',
    first: sendFrames(first, dropConnection),
    resumes: [() => {}],
    calls: 1,
    resumed: 2,
  },
  {
    name: 'an agent that falls silent inside its stream',
    first: sendFrames(first, () => {}),
    calls: 1,
    resumed: 1,
  },
  {
    name: 'an agent that dies with nothing sent',
    first: runThenDropConnection,
    calls: 2,
    resumed: 0,
  },
  {
    name: 'an agent that dies after its head',
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
      call.res.end(framesOf(foreign).join(''));
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
  // The caller sees a whole answer. The fake agent sends the fault in its
  // first answer; what comes after a resume or another attempt is right.
  // Without the safeguard the caller would read a wrong, short or doubled text.
  it.each(MENDED)('mends $name', async ({first, resumes, calls, resumed}) => {
    system.next.push(first);
    system.nextResumes.push(...(resumes ?? []));
    expect(await streamedText()).toBe(ANSWER_TEXT);
    const counts = system.takeCounts();
    expect([counts.calls, counts.resumes]).toEqual([calls, resumed]);
  });

  it.each([
    ['the agent has forgotten it', [gone]],
    [
      'no resume brings a further event',
      Array<Behaviour>(10).fill(runThenDropConnection),
    ],
  ])(
    'never ends a part cleanly when %s',
    // The caller has had the first word when the agent dies for good. It must
    // see an error and a broken connection: most clients take a clean end for
    // the end of the answer, and a member would be read half an answer.
    async (_name, resumes) => {
      system.next.push(sendFrames(first, dropConnection));
      system.nextResumes.push(...resumes);
      const {text, brokeOff} = await readRaw();
      expect(brokeOff).toBe(true);
      expect(text).toContain('You ');
      expect(text).toContain('"outcome":"unknown"');
      expect(text).not.toContain('[DONE]');
    },
  );

  it('raises an error in the openai client for a broken stream', async () => {
    system.next.push(sendFrames(first, dropConnection));
    system.nextResumes.push(gone);
    await expect(streamedText()).rejects.toThrow('the answer broke off');
  });

  it('sends nothing after the end marker', async () => {
    system.next.push(
      sendFrames(call => [
        ...framesOf(call),
        frame(call.attemptId, 9, '{"after":"the end"}'),
      ]),
    );
    const {text, brokeOff} = await readRaw();
    expect(brokeOff).toBe(false);
    expect(text.endsWith('data: [DONE]\n\n')).toBe(true);
  });
});

/** Reads a stream to its end, clean or not. */
async function readRaw(): Promise<{text: string; brokeOff: boolean}> {
  const response = await fetch(`http://127.0.0.1:${port}/v1/chat/completions`, {
    method: 'POST',
    headers: {authorization: `Bearer ${CALLER_KEY}`},
    body: JSON.stringify({...CHAT, stream: true}),
  });
  const decoder = new TextDecoder();
  let text = '';
  try {
    for await (const chunk of response.body!) text += decoder.decode(chunk);
    return {text, brokeOff: false};
  } catch {
    return {text, brokeOff: true};
  }
}
