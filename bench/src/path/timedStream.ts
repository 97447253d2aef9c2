import {request, type Dispatcher} from 'undici';

/** Where and how a streamed request is sent. */
export interface StreamTarget {
  url: string;
  model: string;
  key: string;
  maxTokens: number;
  prompt: string;
  dispatcher: Dispatcher;
}

/** What a caller saw of one streamed answer; all times in ms. */
export interface StreamTiming {
  firstTokenMs: number;
  /** Between the arrival of one chunk and of the next. */
  gapsMs: number[];
  wholeMs: number;
  complete: boolean;
}

const DONE = 'data: [DONE]';

/** Sends one streamed chat and times what arrives. */
export async function timedStream(target: StreamTarget): Promise<StreamTiming> {
  const startMs = performance.now();
  const {statusCode, body} = await request(
    `${target.url}/v1/chat/completions`,
    {
      method: 'POST',
      dispatcher: target.dispatcher,
      headers: {
        authorization: `Bearer ${target.key}`,
        'content-type': 'application/json',
      },
      body: JSON.stringify({
        model: target.model,
        stream: true,
        max_tokens: target.maxTokens,
        messages: [{role: 'user', content: target.prompt}],
      }),
    },
  );
  const arrivalsMs: number[] = [];
  let tail = '';
  for await (const chunk of body) {
    arrivalsMs.push(performance.now());
    tail = (tail + String(chunk)).slice(-DONE.length * 2);
  }
  return {
    firstTokenMs: (arrivalsMs[0] ?? startMs) - startMs,
    gapsMs: arrivalsMs
      .slice(1)
      .map((at, index) => at - (arrivalsMs[index] ?? at)),
    wholeMs: performance.now() - startMs,
    complete: statusCode === 200 && tail.includes(DONE),
  };
}
