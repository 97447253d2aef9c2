/** What was asked of one model since the last exchange. */
export interface ModelDemand {
  model: string;
  /** Requests, each counted by its urgency. */
  arrivals: number;
  /** Tokens that the arrivals have to read and to generate, at most. */
  promptTokens: number;
  outputTokens: number;
  /** Adapters that were asked for, with how often. */
  adapters: Record<string, number>;
}

/** One request for a model. */
export interface Arrival {
  model: string;
  adapter?: string;
  promptTokens: number;
  maxOutputTokens: number;
  /** What it counts for placement; 1 for the least urgent. */
  urgency: number;
}

/** Counts demand by model between two exchanges with the holder. */
export class DemandMeter {
  private byModel = new Map<string, ModelDemand>();
  private readonly waiting = new Map<string, number>();
  /** Called when a request begins to wait for a copy. */
  onWaiting: () => void = () => {};

  recordArrival(arrival: Arrival): void {
    const {model, adapter, urgency} = arrival;
    const demand = this.getOrCreate(model);
    demand.arrivals += urgency;
    demand.promptTokens += arrival.promptTokens;
    demand.outputTokens += arrival.maxOutputTokens;
    if (adapter === undefined) return;
    demand.adapters[adapter] = (demand.adapters[adapter] ?? 0) + 1;
  }

  /** A request waits for a copy; call what is returned when it no longer does. */
  trackWaiting(model: string): () => void {
    this.waiting.set(model, (this.waiting.get(model) ?? 0) + 1);
    this.onWaiting();
    let isDone = false;
    return () => {
      if (isDone) return;
      isDone = true;
      const left = (this.waiting.get(model) ?? 1) - 1;
      if (left > 0) this.waiting.set(model, left);
      else this.waiting.delete(model);
    };
  }

  /** Requests that wait now for a copy, by model. */
  waitingCounts(): Record<string, number> {
    return Object.fromEntries(this.waiting);
  }

  /** Adds what another entry has counted. */
  add(demand: readonly ModelDemand[]): void {
    for (const asked of demand) {
      const own = this.getOrCreate(asked.model);
      own.arrivals += asked.arrivals;
      own.promptTokens += asked.promptTokens;
      own.outputTokens += asked.outputTokens;
      for (const [adapter, times] of Object.entries(asked.adapters)) {
        own.adapters[adapter] = (own.adapters[adapter] ?? 0) + times;
      }
    }
  }

  /** Takes what was counted, and begins anew. */
  take(): ModelDemand[] {
    const taken = [...this.byModel.values()];
    this.byModel = new Map();
    return taken;
  }

  private getOrCreate(model: string): ModelDemand {
    let demand = this.byModel.get(model);
    if (!demand) {
      demand = {
        model,
        arrivals: 0,
        promptTokens: 0,
        outputTokens: 0,
        adapters: {},
      };
      this.byModel.set(model, demand);
    }
    return demand;
  }
}
