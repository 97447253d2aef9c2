import type {Clock} from '@banyanfold/core';
import {createConnector} from '@banyanfold/log';
import {Agent} from 'undici';
import {HEADERS, PATHS} from '@banyanfold/protocol';
import type {EntrySettings} from '../settings.js';
import type {AgentState} from '../view/agentState.js';
import {
  failureFromError,
  readAttemptResponse,
  type AttemptResponse,
} from './attemptResponse.js';

/** A refusal is an error object with a message. */
const MAX_REFUSAL_BYTES = 65_536;

/** An attempt, its agent, and the signal that aborts a call about it. */
export interface AttemptTarget {
  agent: AgentState;
  attemptId: string;
  signal: AbortSignal;
}

/** Fetches the rest of an attempt's answer from its agent. */
export interface ResumeRequest extends AttemptTarget {
  requestId: string;
}

/** An attempt to send to an agent. */
export interface AttemptRequest extends AttemptTarget {
  /** `v1/chat/completions`, or `services/{service}/{path…}`. */
  path: string;
  headers: Record<string, string>;
  body: Buffer;
}

/**
 * Sends attempts to agents over HTTP/1.1.
 *
 * Each connection carries one request at a time (pipelining 1), and each
 * request is sent once: if a keep-alive connection breaks, undici fails the
 * request instead of resending it. A resent request that may not be repeated
 * could run twice.
 */
export class AttemptTransport {
  private readonly dispatcher: Agent;

  constructor(
    private readonly settings: EntrySettings,
    private readonly clock: Clock,
  ) {
    this.dispatcher = new Agent({
      pipelining: 1,
      connections: settings.attempts.connectionsPerAgent,
      connect: createConnector({timeoutMs: settings.attempts.connectMs}),
      // The request's own deadline, run on the injected clock, limits both.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /** Sends an attempt and waits for the headers of its answer. */
  async open(request: AttemptRequest): Promise<AttemptResponse> {
    return this.send(request, {
      method: 'POST',
      path: `${PATHS.attempt}${request.path}`,
      headers: request.headers,
      body: request.body,
    });
  }

  /** Requests a stream's events after `lastSeq`, or a whole answer (0). */
  async resume(
    request: ResumeRequest,
    lastSeq: number,
  ): Promise<AttemptResponse> {
    return this.send(request, {
      method: 'GET',
      path: `${PATHS.attempt}${request.attemptId}`,
      headers: {
        [HEADERS.lastEventId]: String(lastSeq),
        // A restarted agent needs both ids to query the engine.
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
      return await readAttemptResponse(request.attemptId, response, {
        clock: this.clock,
        maxBytes: MAX_REFUSAL_BYTES,
        timeoutMs: this.settings.attempts.resumeMs,
      });
    } catch (error) {
      return failureFromError(error);
    }
  }
}
