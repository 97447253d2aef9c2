import {request} from 'undici';

export async function call(
  url: string,
  method: 'GET' | 'POST' | 'PUT' | 'DELETE' = 'GET',
  body?: unknown,
  headers: Record<string, string> = {},
) {
  const answer = await request(url, {
    method,
    headers: {'content-type': 'application/json', ...headers},
    body: body === undefined ? undefined : JSON.stringify(body),
  });
  const text = await answer.body.text();
  return {status: answer.statusCode, headers: answer.headers, text};
}

export async function callJson(...args: Parameters<typeof call>) {
  const {status, text} = await call(...args);
  return {status, body: JSON.parse(text)};
}

/** The numbers of a stream's events (`x`: another's), and `cut` if it was. */
export async function readEvents(
  url: string,
  body: unknown,
  headers: Record<string, string>,
): Promise<string> {
  const answer = await request(url, {
    method: 'POST',
    headers,
    body: JSON.stringify(body),
  });
  let text = '';
  let end: string[] = [];
  try {
    for await (const part of answer.body) text += String(part);
  } catch {
    end = ['cut'];
  }
  const events = text.split('\n\n').slice(0, -1);
  const seen = events.map(event => {
    const id = /^id: (\d+)/.exec(event)?.[1];
    return event.includes('chatcmpl-another') ? `${id}x` : id;
  });
  return [...seen, ...end].join(' ');
}
