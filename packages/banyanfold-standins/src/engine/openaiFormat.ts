import type {
  EngineStream,
  InferenceRequest,
  RequestKind,
  StreamEvent,
  Usage,
} from './EngineStream.js';

const MS_PER_SECOND = 1000;
export const DONE = '[DONE]';

const ID_PREFIX: Record<RequestKind, string> = {
  chat: 'chatcmpl-',
  completion: 'cmpl-',
};

const CHUNK_OBJECT: Record<RequestKind, string> = {
  chat: 'chat.completion.chunk',
  completion: 'text_completion',
};

const WHOLE_OBJECT: Record<RequestKind, string> = {
  chat: 'chat.completion',
  completion: 'text_completion',
};

/** The `id` in the JSON of an answer. */
export function answerId({kind, requestId}: InferenceRequest): string {
  return `${ID_PREFIX[kind]}${requestId}`;
}

/** The data of one event of a stream. */
export function renderEvent(stream: EngineStream, event: StreamEvent): string {
  if (event.kind === 'done') return DONE;
  const {request, usage} = stream;
  const chunk = {
    ...envelope(stream, CHUNK_OBJECT[request.kind]),
    choices: event.kind === 'usage' ? [] : [chunkChoice(request.kind, event)],
  };
  if (!request.includeUsage) return JSON.stringify(chunk);
  const usageField = event.kind === 'usage' ? renderUsage(usage) : null;
  return JSON.stringify({...chunk, usage: usageField});
}

/** An event that belongs to another request, whose id it has. */
export function renderCrossedEvent(
  stream: EngineStream,
  otherRequestId: string,
  seq: number,
): string {
  const {request, createdAtMs} = stream;
  const other = {request: {...request, requestId: otherRequestId}, createdAtMs};
  const event = {kind: 'token', text: ' crossed', seq} as const;
  return JSON.stringify({
    ...envelope(other, CHUNK_OBJECT[request.kind]),
    choices: [chunkChoice(request.kind, event)],
  });
}

/** The answer of a request that is not streamed. */
export function renderWhole(
  stream: EngineStream,
  requestId: string = stream.request.requestId,
): unknown {
  const request = {...stream.request, requestId};
  const {kind, finishReason} = request;
  const {createdAtMs} = stream;
  const text = stream.text();
  const content =
    kind === 'chat' ? {message: {role: 'assistant', content: text}} : {text};
  return {
    ...envelope({request, createdAtMs}, WHOLE_OBJECT[kind]),
    choices: [
      {index: 0, ...content, logprobs: null, finish_reason: finishReason},
    ],
    usage: renderUsage(stream.usage),
  };
}

function envelope(
  {request, createdAtMs}: Pick<EngineStream, 'request' | 'createdAtMs'>,
  object: string,
) {
  return {
    id: answerId(request),
    object,
    created: Math.floor(createdAtMs / MS_PER_SECOND),
    model: request.artifact,
  };
}

function chunkChoice(kind: RequestKind, event: StreamEvent) {
  const text = event.kind === 'token' ? event.text : '';
  const finishReason = event.kind === 'finish' ? event.reason : null;
  const content = kind === 'chat' ? {delta: chatDelta(event)} : {text};
  return {index: 0, ...content, logprobs: null, finish_reason: finishReason};
}

function chatDelta(event: StreamEvent) {
  if (event.kind !== 'token') return {};
  const role = event.seq === 1 ? {role: 'assistant'} : {};
  return {...role, content: event.text};
}

function renderUsage({promptTokens, completionTokens, cachedTokens}: Usage) {
  return {
    prompt_tokens: promptTokens,
    completion_tokens: completionTokens,
    total_tokens: promptTokens + completionTokens,
    prompt_tokens_details: {cached_tokens: cachedTokens},
  };
}
