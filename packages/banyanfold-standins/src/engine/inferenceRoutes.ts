import {ok} from 'neverthrow';
import {
  ANSWERED,
  type Handler,
  type Route,
  type StandinRequest,
} from '../common/httpServer.js';
import {pauseFor} from '../common/pauseFor.js';
import {CONNECTION_CUT, refuse, type Answer} from '../common/refusal.js';
import type {EngineState} from './EngineState.js';
import type {EngineStream, InferenceRequest} from './EngineStream.js';
import {deliverStream, type StreamFaults} from './deliverStream.js';
import {renderWhole} from './openaiFormat.js';
import {
  parseChat,
  parseCompletion,
  type RequestHeaders,
} from './requestSchema.js';
import {sseSink} from './sseSink.js';

const CROSSED_REQUEST_ID = 'another-request';

type Parse = (
  body: unknown,
  headers: RequestHeaders,
) => InferenceRequest | undefined;

/** OpenAI's paths, and resuming and cancelling a stream. */
export function inferenceRoutes(state: EngineState): Route[] {
  const routes = new InferenceRoutes(state);
  return [
    {
      method: 'POST',
      pattern: /^\/v1\/chat\/completions$/,
      handle: routes.run(parseChat),
    },
    {
      method: 'POST',
      pattern: /^\/v1\/completions$/,
      handle: routes.run(parseCompletion),
    },
    {
      method: 'GET',
      pattern: /^\/v1\/streams\/(?<requestId>[^/]+)$/,
      handle: routes.resume(),
    },
    {
      method: 'DELETE',
      pattern: /^\/v1\/streams\/(?<requestId>[^/]+)$/,
      handle: ({params}) =>
        ok({state: state.cancel(params['requestId'] ?? '')}),
    },
    {
      method: 'GET',
      pattern: /^\/v1\/models$/,
      handle: () => ok({object: 'list', data: listModels(state)}),
    },
  ];
}

class InferenceRoutes {
  private lastOwnId = 0;

  constructor(private readonly state: EngineState) {}

  run(parse: Parse): Handler {
    return async request => {
      const requestId = header(request, 'x-request-id') ?? this.ownId();
      const priority = Number(header(request, 'x-priority') ?? 0) || 0;
      const {clock, faults} = this.state;
      await pauseFor(clock, faults.get().requestDelayMs);
      const parsed = parse(request.body, {requestId, priority});
      if (!parsed) return openaiRefusal(400, 'bad-request');
      const submitted = this.state.submit(parsed);
      if (submitted.isErr()) {
        return openaiRefusal(submitted.error.status, submitted.error.code);
      }
      request.response.setHeader('x-request-id', requestId);
      if (!parsed.stream) return this.answerWhole(submitted.value);
      return this.answerStream(request, submitted.value, 0);
    };
  }

  resume(): Handler {
    return request => {
      const stream = this.state.findStream(request.params['requestId'] ?? '');
      if (!stream) return refuse(404, 'no-such-stream');
      const afterSeq = Number(header(request, 'last-event-id') ?? 0) || 0;
      const {requestId} = stream.request;
      request.response.setHeader('x-request-id', requestId);
      return this.answerStream(request, stream, afterSeq);
    };
  }

  private async answerWhole(stream: EngineStream): Promise<Answer<unknown>> {
    await stream.over();
    if (stream.state === 'cancelled') return openaiRefusal(499, 'cancelled');
    const {faults} = this.state;
    if (faults.takeNext('cutNextWholeAnswers')) {
      return refuse(CONNECTION_CUT, 'answer-lost');
    }
    if (faults.takeNext('crossNextWholeAnswers')) {
      return ok(renderWhole(stream, CROSSED_REQUEST_ID));
    }
    return ok(renderWhole(stream));
  }

  private answerStream(
    {response}: StandinRequest,
    stream: EngineStream,
    afterSeq: number,
  ): Answer<unknown> {
    response.setHeader('x-engine-now-ms', String(this.state.nowMs()));
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-cache',
    });
    response.flushHeaders();
    const stop = deliverStream(stream, {
      afterSeq,
      faults: this.takeStreamFaults(),
      sink: sseSink(response, stream, CROSSED_REQUEST_ID),
    });
    response.on('close', stop);
    return ok(ANSWERED);
  }

  private takeStreamFaults(): StreamFaults | undefined {
    const {faults} = this.state;
    return faults.takeNext('faultyStreams') ? faults.get() : undefined;
  }

  private ownId(): string {
    this.lastOwnId += 1;
    return `${this.state.options.name}-${this.lastOwnId}`;
  }
}

function listModels(state: EngineState) {
  return state.memory
    .list()
    .filter(model => model.state === 'loaded')
    .map(({artifact}) => ({
      id: artifact,
      object: 'model',
      created: 0,
      owned_by: 'banyanfold',
    }));
}

function openaiRefusal(status: number, code: string) {
  const type = status < 500 ? 'invalid_request_error' : 'server_error';
  return refuse(status, code, {detail: {error: {message: code, type, code}}});
}

function header({headers}: StandinRequest, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}
