import type {Dispatcher} from 'undici';
import type {RunnerConnection} from '../runners/runnerConnections.js';
import type {ResponseHeaders} from '../types.js';

const BODILESS_METHODS = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS']);

/** The HTTP request that is sent to a runner. */
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

/** Receives one response as it arrives. */
export interface AttemptObserver {
  /** Called when bytes were read, after the calls for the parts in them. */
  onRead(bytes: number): void;
  onInterimHead(): void;
  onHead(head: ResponseHead): void;
  /** Returns false to pause the response until `resume` is called. */
  onData(chunk: Buffer): boolean;
  onEnd(): void;
  onError(error: Error): void;
}

/** One attempt to send a request over one connection. */
export class Attempt {
  private controller: Dispatcher.DispatchController | undefined;
  private isDone = false;
  /** The request may have run once the connection was established. */
  get mayHaveRun(): boolean {
    return this.connection.established;
  }

  constructor(
    private readonly connection: RunnerConnection,
    private readonly observer: AttemptObserver,
  ) {}

  send({method, target, headers, body}: AttemptRequest): void {
    this.connection.onRead = bytes => {
      if (!this.isDone) this.observer.onRead(bytes);
    };
    const hasBody = body.length > 0 || !BODILESS_METHODS.has(method);
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
          if (this.isDone) controller.abort(new Error('attempt cancelled'));
        },
        onResponseStart: (_controller, status, headers) => {
          if (this.isDone) return;
          // 1xx responses are interim; the final response follows.
          if (status < 200) this.observer.onInterimHead();
          else this.observer.onHead({status, headers});
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

  /** Closes the connection, so that the runner stops its work. */
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
