import type {GatewayContext} from '../context.js';
import type {RunnerConnection} from '../runners/runnerConnections.js';
import {
  namedRequestOf,
  type IncomingResponse,
  type NamedRequest,
} from './incomingResponse.js';

export interface AttemptTraceOptions {
  context: GatewayContext;
  connection: RunnerConnection;
  requestId: string | undefined;
  runnerId: string;
  /** Which attempt of the request it is, from 1. */
  attemptNumber: number;
}

/** The response that was taken for that of an attempt. */
interface TracedResponse {
  status: number;
  names: NamedRequest;
  notRun: boolean;
  signed: boolean;
  headMs: number;
}

/** The connection that an attempt used and the response that came, for the log. */
export class AttemptTrace {
  private readonly sentMs: number;
  private response: TracedResponse | undefined;

  constructor(private readonly options: AttemptTraceOptions) {
    this.sentMs = options.context.clock.nowMs();
  }

  /** Whether it is the first attempt of its request. */
  get isFirst(): boolean {
    return this.options.attemptNumber === 1;
  }

  /** Records the head of a response, before it is checked. */
  noteResponse({head, info, firstByteMs}: IncomingResponse): void {
    const {context, connection, requestId} = this.options;
    const names = namedRequestOf(info, requestId);
    context.metrics.count('runner_responses_total', {
      names,
      connection: connection.isReused ? 'reused' : 'new',
    });
    this.response = {
      status: head.status,
      names,
      notRun: info.notExecuted,
      signed: info.signed,
      headMs: Math.round(firstByteMs),
    };
  }

  /** Fields of the log line, in its order. */
  fields(result: string): Record<string, string | number | boolean> {
    const {context, connection, runnerId, attemptNumber} = this.options;
    return {
      runner: runnerId,
      number: attemptNumber,
      connection: connection.connectionNumber,
      use: connection.requestCount,
      result,
      ...this.response,
      tookMs: Math.round(context.clock.nowMs() - this.sentMs),
    };
  }
}
