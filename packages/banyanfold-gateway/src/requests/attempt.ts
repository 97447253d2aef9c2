import type {Dispatcher} from 'undici';
import type {RunnerConnection} from '../runners/runnerConnections.js';
import type {ResponseHeaders} from '../types.js';

const HAS_NO_BODY_METHODS = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS']);

/** What is sent to a runner. */
export interface AttemptRequest {
  method: string;
  target: string;
  headers: string[];
  body: Buffer;
}

export interface ResponseHead {
  status: number;
  headers: ResponseHeaders;
}

/** Receives one answer as it comes. */
export interface AttemptObserver {
  onHead(head: ResponseHead): void;
  /** Returns false to pause until `resume`. */
  onData(chunk: Buffer): boolean;
  onEnd(): void;
  onError(error: Error): void;
}

/** One sending of a request on one connection. */
export class Attempt {
  private controller: Dispatcher.DispatchController | undefined;
  private isDone = false;
  /** Set when the connection was established before the failure. */
  get mayHaveRun(): boolean {
    return this.connection.established;
  }

  constructor(
    private readonly connection: RunnerConnection,
    private readonly observer: AttemptObserver,
  ) {}

  send({method, target, headers, body}: AttemptRequest): void {
    const hasBody = body.length > 0 || !HAS_NO_BODY_METHODS.has(method);
    this.connection.dispatch(
      {
        path: target,
        method: method as Dispatcher.HttpMethod,
        headers,
        body: hasBody ? body : null,
      },
      {
        onRequestStart: controller => {
          this.controller = controller;
          if (this.isDone) controller.abort(new Error('given up'));
        },
        onResponseStart: (_controller, status, answerHeaders) => {
          // An interim answer is no answer.
          if (this.isDone || status < 200) return;
          this.observer.onHead({status, headers: answerHeaders});
        },
        onResponseData: (controller, chunk) => {
          if (this.isDone) return;
          if (!this.observer.onData(chunk)) controller.pause();
        },
        onResponseEnd: () => this.end(),
        onResponseError: (_controller, error) => this.fail(error),
      },
    );
  }

  resume(): void {
    if (this.controller?.paused) this.controller.resume();
  }

  /** Ends the attempt at once, so that the runner stops its work. */
  cancel(): void {
    this.isDone = true;
    this.connection.destroy();
  }

  private end(): void {
    if (this.isDone) return;
    this.isDone = true;
    this.observer.onEnd();
  }

  private fail(error: Error): void {
    if (this.isDone) return;
    this.isDone = true;
    this.connection.destroy();
    this.observer.onError(error);
  }
}
