import type {CallerClient, ModelCall, ModelResult} from './CallerClient.js';
import type {Stack} from './Stack.js';

/** A bounded load on the entries of a stack. */
export interface LoadOptions {
  stack: Stack;
  client: CallerClient;
  models: readonly string[];
  /** How many callers wait for an answer at once. */
  callers?: number;
  maxTokens?: number;
  /** Between a caller's answer and its next request. */
  thinkMs?: number;
  /** The share of callers that stream; the others want whole answers. */
  streamShare?: number;
}

const DEFAULTS = {callers: 6, maxTokens: 12, thinkMs: 10, streamShare: 0.5};

let loadCount = 0;

/** Callers that ask one model after another until they are stopped. */
export class Load {
  readonly results: ModelResult[] = [];
  private readonly options: LoadOptions & typeof DEFAULTS;
  private readonly id = loadCount++;
  private count = 0;
  private running = false;
  private callers: Array<Promise<void>> = [];

  constructor(options: LoadOptions) {
    this.options = {...DEFAULTS, ...options};
  }

  start(): this {
    this.running = true;
    const {callers, streamShare} = this.options;
    this.callers = Array.from({length: callers}, (_, index) =>
      this.callOn(index < callers * streamShare),
    );
    return this;
  }

  /** Resolves when each caller has the answer that it waits for. */
  async stop(): Promise<ModelResult[]> {
    this.running = false;
    await Promise.all(this.callers);
    return this.results;
  }

  private async callOn(stream: boolean): Promise<void> {
    const {client, thinkMs} = this.options;
    while (this.running) {
      const call = this.nextCall(stream);
      const result = await client.askModel(this.entryUrl(), call);
      if (result.end !== 'never-sent') this.results.push(result);
      await new Promise(resolve => setTimeout(resolve, thinkMs));
    }
  }

  private nextCall(stream: boolean): ModelCall {
    const {models, maxTokens} = this.options;
    const number = this.count++;
    const model = models[number % models.length] ?? '';
    const prompt = `load ${this.id} request ${number}`;
    return {model, prompt, maxTokens, stream};
  }

  /** As the balancer does: one of those that are ready, in turn. */
  private entryUrl(): string {
    const {stack} = this.options;
    const ready = stack.readyEntryUrls();
    return ready[this.count % ready.length] ?? stack.entryUrl();
  }
}
