const DONE = '[DONE]';

/** How a stream of server-sent events ended. */
export type StreamEnd = 'done' | 'broken' | 'no-end-marker';

/** What a caller's client library makes of a stream. */
export interface StreamText {
  end: StreamEnd;
  text: string;
  /** The code of the error that came in the stream. */
  code: string;
}

interface Chunk {
  choices?: Array<{text?: string}>;
  error?: {code?: string};
}

/** Reads a stream to its end, however it ends. */
export async function readStream(
  body: AsyncIterable<Buffer>,
): Promise<StreamText> {
  let text = '';
  let code = '';
  let isDone = false;
  let rest = '';
  const decoder = new TextDecoder();
  try {
    for await (const part of body) {
      rest += decoder.decode(part, {stream: true});
      const events = rest.split('\n\n');
      rest = events.pop() ?? '';
      for (const event of events) {
        const data = dataOf(event);
        if (data === DONE) {
          isDone = true;
          continue;
        }
        const chunk = JSON.parse(data) as Chunk;
        code ||= chunk.error?.code ?? '';
        text += chunk.choices?.[0]?.text ?? '';
      }
    }
  } catch {
    return {end: 'broken', text, code};
  }
  if (code !== '') return {end: 'broken', text, code};
  return {end: isDone ? 'done' : 'no-end-marker', text, code};
}

function dataOf(event: string): string {
  return event
    .split('\n')
    .filter(line => line.startsWith('data:'))
    .map(line => line.slice('data:'.length).trim())
    .join('\n');
}
