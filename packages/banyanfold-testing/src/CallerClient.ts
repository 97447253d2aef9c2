import {HEADERS} from '@banyanfold/protocol';
import {Agent, request} from 'undici';
import {readStream, type StreamEnd} from './readStream.js';
import {STACK_KEYS} from './types.js';

const COMPLETIONS_PATH = '/v1/completions';
const OK_STATUS = 200;
const NEVER_SENT_CODES = new Set(['ECONNREFUSED']);

/** A request to a model, by a prompt that no other request has. */
export interface ModelCall {
  model: string;
  prompt: string;
  maxTokens: number;
  stream?: boolean;
}

/** A call of a plain service that may not be repeated. */
export interface ServiceCall {
  path: string;
  key: string;
  body: object;
}

/** How a call ended, as its caller saw it. */
export type CallEnd =
  | 'whole'
  | 'refused'
  /** The connection broke, or an error came in the stream. */
  | 'broken'
  /** The connection ended well, but without the end of the answer. */
  | 'part'
  /** No byte of the request left. */
  | 'never-sent';

/** What a caller was told. */
export interface CallResult {
  end: CallEnd;
  status: number;
  code: string;
  /** `not-run`, `unknown`, or empty when nothing was said. */
  outcome: string;
  retryAfterMs: number | undefined;
  text: string;
}

/** A result with the request that it answers. */
export interface ModelResult extends CallResult {
  call: ModelCall;
}

interface ErrorBody {
  error?: {code?: string};
}

/** Calls entries as the callers do, and keeps what it was told. */
export class CallerClient {
  private readonly dispatcher = new Agent({
    connections: 256,
    bodyTimeout: 0,
    headersTimeout: 0,
  });

  /** @example await client.askModel(stack.entryUrl(), {model, prompt, …}) */
  async askModel(entryUrl: string, call: ModelCall): Promise<ModelResult> {
    const {model, prompt, maxTokens, stream = false} = call;
    const body = {model, prompt, max_tokens: maxTokens, stream};
    const result = await this.post(`${entryUrl}${COMPLETIONS_PATH}`, body, {});
    if (result.end === 'whole' && !stream) {
      const whole = JSON.parse(result.text) as {choices: [{text: string}]};
      result.text = whole.choices[0].text;
    }
    return {...result, call};
  }

  /** Calls a plain service once; it never tries again by itself. */
  callService(
    entryUrl: string,
    {path, key, body}: ServiceCall,
  ): Promise<CallResult> {
    const headers = {[HEADERS.idempotencyKey]: key};
    return this.post(`${entryUrl}/services/${path}`, body, headers);
  }

  async close(): Promise<void> {
    await this.dispatcher.destroy();
  }

  private async post(
    url: string,
    body: object,
    headers: Record<string, string>,
  ): Promise<CallResult> {
    try {
      const answer = await request(url, {
        method: 'POST',
        dispatcher: this.dispatcher,
        headers: {
          'content-type': 'application/json',
          authorization: `Bearer ${STACK_KEYS.caller}`,
          ...headers,
        },
        body: JSON.stringify(body),
      });
      const type = String(answer.headers['content-type'] ?? '');
      const said = {
        status: answer.statusCode,
        outcome: String(answer.headers[HEADERS.outcome] ?? ''),
        retryAfterMs: numberOf(answer.headers[HEADERS.retryAfterMs]),
      };
      if (type.includes('text/event-stream')) {
        const {end, text, code} = await readStream(answer.body);
        return {...said, end: STREAM_ENDS[end], text, code};
      }
      const text = await answer.body.text();
      if (said.status === OK_STATUS) {
        return {...said, end: 'whole', text, code: ''};
      }
      const {error} = JSON.parse(text) as ErrorBody;
      return {...said, end: 'refused', text: '', code: error?.code ?? ''};
    } catch (error) {
      return failure((error as {code?: string}).code ?? 'broken');
    }
  }
}

const STREAM_ENDS: Record<StreamEnd, CallEnd> = {
  done: 'whole',
  broken: 'broken',
  'no-end-marker': 'part',
};

function failure(code: string): CallResult {
  const end = NEVER_SENT_CODES.has(code) ? 'never-sent' : 'broken';
  const retryAfterMs = undefined;
  return {end, status: 0, code, outcome: '', retryAfterMs, text: ''};
}

function numberOf(value: string | string[] | undefined): number | undefined {
  return value === undefined ? undefined : Number(value);
}
