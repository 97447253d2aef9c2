import {HEADERS, type Outcome} from '@banyanfold/protocol';
import type {AttemptCall, Behaviour} from './fakeAgent.js';

/** The text of a complete answer, by events of its stream. */
export const ANSWER_CHUNKS = ['You ', 'are ', 'eligible.'];
export const ANSWER_TEXT = ANSWER_CHUNKS.join('');

/** Events of one attempt with their ids, including the end marker. */
export function framesOf(
  call: Pick<AttemptCall, 'attemptId' | 'requestId'>,
  chunks: readonly string[] = ANSWER_CHUNKS,
): string[] {
  const data = [
    ...chunks.map(chunk => completionChunk(call.requestId, chunk)),
    '[DONE]',
  ];
  return data.map((text, i) => frame(call.attemptId, i + 1, text));
}

export function frame(attemptId: string, seq: number, data: string): string {
  return `id: ${attemptId}/${seq}\ndata: ${data}\n\n`;
}

export function completionChunk(requestId: string, content: string): string {
  return JSON.stringify({
    id: `chatcmpl-${requestId}`,
    object: 'chat.completion.chunk',
    created: 1,
    model: 'claims',
    choices: [{index: 0, delta: {content}, finish_reason: null}],
  });
}

export function completionBody(requestId: string): string {
  const message = {role: 'assistant', content: ANSWER_TEXT};
  return JSON.stringify({
    id: `chatcmpl-${requestId}`,
    object: 'chat.completion',
    created: 1,
    model: 'claims',
    choices: [{index: 0, message, finish_reason: 'stop'}],
    usage: {prompt_tokens: 3, completion_tokens: 3, total_tokens: 6},
  });
}

export function writeStreamHead(
  call: AttemptCall,
  echo = call.attemptId,
): void {
  call.res.writeHead(200, {
    'content-type': 'text/event-stream',
    [HEADERS.attemptId]: echo,
    [HEADERS.load]: JSON.stringify(call.agent.digest()),
  });
}

/** Runs the request and answers completely, as a stream if requested. */
export const answerWhole: Behaviour = call => {
  if (call.afterSeq === undefined) call.agent.ran++;
  if (call.isStream) {
    writeStreamHead(call);
    call.res.end(
      framesOf(call)
        .slice(call.afterSeq ?? 0)
        .join(''),
    );
    return;
  }
  answerJson(call, completionBody(call.requestId));
};

export function answerJson(
  call: AttemptCall,
  body: string,
  headers: Record<string, string | number> = {},
): void {
  call.res.writeHead(200, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    [HEADERS.attemptId]: call.attemptId,
    [HEADERS.load]: JSON.stringify(call.agent.digest()),
    ...headers,
  });
  call.res.end(body);
}

/** Sends the headers and these events, then calls `then`. */
export function sendFrames(
  frames: (call: AttemptCall) => string[],
  then: (call: AttemptCall) => void = call => call.res.end(),
): Behaviour {
  return call => {
    call.agent.ran++;
    writeStreamHead(call);
    call.res.write(frames(call).join(''), () => then(call));
  };
}

/** Breaks the connection, as when the agent's process is killed. */
export const dropConnection = (call: AttemptCall): void => {
  call.socket.destroy();
};

/** Runs the request and breaks the connection without a response. */
export const runThenDropConnection: Behaviour = call => {
  call.agent.ran++;
  dropConnection(call);
};

export function refuse(
  code: string,
  status: number,
  outcome: Outcome = 'not-run',
  retryAfterMs = 0,
): Behaviour {
  return call => {
    const error = {message: code, type: 'not_run', code};
    const body = JSON.stringify({error, outcome, retryAfterMs});
    call.res.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      [HEADERS.attemptId]: call.attemptId,
      [HEADERS.load]: JSON.stringify(call.agent.digest()),
      [HEADERS.outcome]: outcome,
    });
    call.res.end(body);
  };
}
