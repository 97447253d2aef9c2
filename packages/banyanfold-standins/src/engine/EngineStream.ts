/** What the engine says about one request, in the order of its stream. */
export type StreamEventBody =
  | {kind: 'token'; text: string}
  | {kind: 'finish'; reason: 'stop' | 'length'}
  | {kind: 'usage'}
  | {kind: 'done'};

export type StreamEvent = StreamEventBody & {seq: number};

export type StreamState = 'running' | 'finished' | 'cancelled';

export type RequestKind = 'chat' | 'completion';

/** A request as the engine runs it. */
export interface InferenceRequest {
  requestId: string;
  kind: RequestKind;
  artifact: string;
  prompt: string;
  maxTokens: number;
  /** `length` when the caller set the limit. */
  finishReason: 'stop' | 'length';
  /** 0 is first. */
  priority: number;
  stream: boolean;
  includeUsage: boolean;
}

export interface Usage {
  promptTokens: number;
  completionTokens: number;
  cachedTokens: number;
}

/** The events of one request; they are kept so that it can be resumed. */
export class EngineStream {
  readonly events: StreamEvent[] = [];
  state: StreamState = 'running';
  private readonly listeners = new Set<() => void>();

  constructor(
    readonly request: InferenceRequest,
    readonly usage: Usage,
    readonly createdAtMs: number,
  ) {}

  get isOver(): boolean {
    return this.state !== 'running';
  }

  add(body: StreamEventBody): void {
    this.events.push({...body, seq: this.events.length + 1});
    if (body.kind === 'token') this.usage.completionTokens += 1;
    this.notify();
  }

  end(state: Exclude<StreamState, 'running'>): void {
    this.state = state;
    this.notify();
  }

  /** The answer's text so far. */
  text(): string {
    return this.events
      .map(event => (event.kind === 'token' ? event.text : ''))
      .join('');
  }

  /** Calls `listener` at each event and at the end; returns its removal. */
  subscribe(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Resolves when the stream has finished or was cancelled. */
  over(): Promise<void> {
    if (this.isOver) return Promise.resolve();
    return new Promise(resolve => {
      const unsubscribe = this.subscribe(() => {
        if (!this.isOver) return;
        unsubscribe();
        resolve();
      });
    });
  }

  private notify(): void {
    for (const listener of [...this.listeners]) listener();
  }
}
