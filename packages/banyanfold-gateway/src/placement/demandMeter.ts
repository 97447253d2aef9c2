import {emptyRecord} from '../emptyRecord.js';
import {addCounts} from './counts.js';

/** Demand for one model since the last exchange. */
export interface ModelDemand {
  model: string;
  /** Number of requests, weighted by urgency. */
  arrivals: number;
  /** Upper bounds on the tokens to read and to generate for the arrivals. */
  promptTokens: number;
  outputTokens: number;
  /** Number of requests by adapter. */
  adapters: Record<string, number>;
}

/** One request for a model. */
export interface Arrival {
  model: string;
  adapter?: string;
  promptTokens: number;
  maxOutputTokens: number;
  /** Weight in placement decisions; 1 for the least urgent. */
  urgency: number;
}

/** Counts demand by model between two exchanges with the holder. */
export class DemandMeter {
  private byModel = new Map<string, ModelDemand>();
  private readonly waitingByModel = new Map<string, number>();
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

  /**
   * Counts a request that waits for a copy. Call the returned function when it
   * no longer waits.
   */
  trackWaiting(model: string): () => void {
    this.waitingByModel.set(model, (this.waitingByModel.get(model) ?? 0) + 1);
    this.onWaiting();
    let isDone = false;
    return () => {
      if (isDone) return;
      isDone = true;
      const remaining = (this.waitingByModel.get(model) ?? 1) - 1;
      if (remaining > 0) this.waitingByModel.set(model, remaining);
      else this.waitingByModel.delete(model);
    };
  }

  /** Number of requests that currently wait for a copy, by model. */
  waitingCounts(): Record<string, number> {
    return Object.fromEntries(this.waitingByModel);
  }

  /** Adds the counts of another entry. */
  add(demand: readonly ModelDemand[]): void {
    for (const other of demand) {
      const total = this.getOrCreate(other.model);
      total.arrivals += other.arrivals;
      total.promptTokens += other.promptTokens;
      total.outputTokens += other.outputTokens;
      addCounts(total.adapters, other.adapters);
    }
  }

  /** Returns the counts and resets them. */
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
        adapters: emptyRecord(),
      };
      this.byModel.set(model, demand);
    }
    return demand;
  }
}
