import {Agent} from 'undici';
import {HEADERS, PATHS} from '@banyanfold/protocol';
import type {EntrySettings} from '../settings.js';
import type {AgentState} from '../view/agentState.js';
import {
  failureFromError,
  readAttemptResponse,
  type AttemptResponse,
} from './attemptResponse.js';

/** Which attempt is meant, and at which agent. */
export interface AttemptTarget {
  agent: AgentState;
  attemptId: string;
  signal: AbortSignal;
}

/** Comes back for an attempt's answer. */
export interface ResumeRequest extends AttemptTarget {
  requestId: string;
}

/** One attempt as it goes to an agent. */
export interface AttemptRequest extends AttemptTarget {
  /** `v1/chat/completions`, or `services/{service}/{path…}`. */
  path: string;
  headers: Record<string, string>;
  body: Buffer;
}

/**
 * Sends attempts to agents over HTTP/1.1.
 *
 * Each request has a connection to itself (pipelining 1) and is sent once:
 * undici fails a request whose keep-alive connection broke instead of sending
 * it again, so no request that may not be repeated runs twice behind our back.
 */
export class AttemptTransport {
  private readonly dispatcher: Agent;

  constructor(private readonly settings: EntrySettings) {
    this.dispatcher = new Agent({
      pipelining: 1,
      connections: settings.attempts.connectionsPerAgent,
      connect: {timeout: settings.attempts.connectMs},
      // Deadlines come from the request's own budget, on the clock.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /** Sends an attempt and waits for the head of its answer. */
  async open(request: AttemptRequest): Promise<AttemptResponse> {
    return this.send(request, {
      method: 'POST',
      path: `${PATHS.attempt}${request.path}`,
      headers: request.headers,
      body: request.body,
    });
  }

  /** Asks for a stream's events after `lastSeq`, or for a whole answer. */
  async resume(
    request: ResumeRequest,
    lastSeq: number,
  ): Promise<AttemptResponse> {
    return this.send(request, {
      method: 'GET',
      path: `${PATHS.attempt}${request.attemptId}`,
      headers: {
        [HEADERS.lastEventId]: String(lastSeq),
        // An agent that was restarted asks the engine by both ids.
        [HEADERS.requestId]: request.requestId,
      },
    });
  }

  close(): Promise<void> {
    return this.dispatcher.destroy();
  }

  private async send(
    request: AttemptTarget,
    options: {
      method: 'GET' | 'POST';
      path: string;
      headers: Record<string, string>;
      body?: Buffer;
    },
  ): Promise<AttemptResponse> {
    const {host, port} = request.agent.vm;
    try {
      const response = await this.dispatcher.request({
        ...options,
        origin: `http://${host}:${port}`,
        headers: {
          ...options.headers,
          authorization: `Bearer ${this.settings.internalKey}`,
        },
        signal: request.signal,
      });
      return await readAttemptResponse(request.attemptId, response);
    } catch (error) {
      return failureFromError(error);
    }
  }
}
