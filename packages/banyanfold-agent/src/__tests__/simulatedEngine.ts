import {sleep, type Clock} from '@banyanfold/core';
import {ok} from 'neverthrow';
import type {
  EngineOrder,
  EngineReport,
  OrderResult,
} from '../engine/engineSchemas.js';

/** The network fault that affects one transmission of an order. */
export type OrderFault = 'none' | 'lost' | 'answer-lost' | 'late' | 'twice';

interface ModelState {
  bytes: number;
  state: 'loading' | 'loaded' | 'unloading';
}

export interface SimulatedEngineOptions {
  clock: Clock;
  checksFencing: boolean;
  capacityBytes: number;
  /** Upper bound for the delay of an order. */
  lateBoundMs: number;
}

const TRANSIT_MS = 3;
const ANSWER_TIMEOUT_MS = 20;
const LOAD_MS = 40;
const UNLOAD_MS = 25;
const CLOCK_OFFSET_MS = 5_000_000;

/**
 * A simulated engine that executes every order and records memory overcommit.
 */
export class SimulatedEngine {
  readonly violations: string[] = [];
  faults: Array<{fault: OrderFault; lateMs: number}> = [];
  reportLagMs = 0;
  /** How many of the next loads the weight store refuses. */
  loadsToRefuse = 0;
  private readonly models = new Map<string, ModelState>();
  private readonly requests = new Map<string, number>();
  private readonly accepted = new Map<string, number>();
  private readonly history: EngineReport[] = [];
  private highestFencing = 0;

  constructor(private readonly options: SimulatedEngineOptions) {
    this.recordState();
  }

  nowMs(): number {
    return this.options.clock.nowMs() + CLOCK_OFFSET_MS;
  }

  weightBytes(): number {
    let total = 0;
    for (const {bytes} of this.models.values()) total += bytes;
    return total;
  }

  beginRequest(key: string, kvBytes: number): void {
    this.requests.set(key, kvBytes);
    this.recordState();
  }

  endRequest(key: string): void {
    this.requests.delete(key);
    this.recordState();
  }

  openRequests(): string[] {
    return [...this.requests.keys()];
  }

  /** Returns the report of `reportLagMs` ago with the current engine time. */
  async report() {
    const sentAtMs = this.options.clock.nowMs();
    const atMs = this.nowMs() - this.reportLagMs;
    const past = this.history.findLast(({takenAtMs}) => takenAtMs <= atMs);
    const report = {...(past ?? this.history[0]!), takenAtMs: atMs};
    return ok({report, timing: {sentAtMs, engineNowMs: this.nowMs()}});
  }

  async order(order: EngineOrder): Promise<OrderResult> {
    const {clock} = this.options;
    const next = this.faults.shift() ?? {fault: 'none', lateMs: 0};
    const {fault, lateMs} = next;
    const deliver = (delayMs: number) =>
      sleep(clock, delayMs).then(() => this.apply(order));
    if (fault === 'none') return deliver(TRANSIT_MS);
    if (fault === 'answer-lost') void deliver(TRANSIT_MS);
    if (fault === 'late') void deliver(lateMs);
    if (fault === 'twice') {
      void deliver(lateMs);
      return deliver(TRANSIT_MS);
    }
    await sleep(clock, ANSWER_TIMEOUT_MS);
    return {kind: 'answer-lost'};
  }

  private apply(order: EngineOrder): OrderResult {
    const earlier = this.accepted.get(order.orderId);
    if (earlier !== undefined) {
      return {kind: 'accepted', visibleAfterMs: earlier};
    }
    const receivedAtMs = this.nowMs();
    if (this.options.checksFencing) {
      const {highestFencing} = this;
      if (order.fencing < highestFencing) {
        const engineNowMs = receivedAtMs;
        return {kind: 'stale-fencing', highestFencing, engineNowMs};
      }
      this.highestFencing = order.fencing;
    }
    const refusal = this.handlers[order.kind](order);
    if (refusal) {
      return {kind: 'refused', code: refusal, engineNowMs: receivedAtMs};
    }
    this.accepted.set(order.orderId, receivedAtMs);
    this.recordState();
    return {kind: 'accepted', visibleAfterMs: receivedAtMs};
  }

  private readonly handlers: Record<
    EngineOrder['kind'],
    (order: EngineOrder) => string | undefined
  > = {
    load: ({artifact, bytes}) => this.load(artifact, bytes),
    unload: ({artifact}) => this.unload(artifact),
    'set-role': () => undefined,
  };

  private load(artifact: string, bytes: number): string | undefined {
    const present = this.models.get(artifact);
    if (present?.state === 'unloading') return 'unloading';
    if (present) return undefined;
    const model: ModelState = {bytes, state: 'loading'};
    this.models.set(artifact, model);
    const isRefused = this.loadsToRefuse > 0;
    if (isRefused) this.loadsToRefuse--;
    this.options.clock.setTimer(LOAD_MS, () => {
      if (model.state !== 'loading') return;
      if (isRefused) this.models.delete(artifact);
      else model.state = 'loaded';
      this.recordState();
    });
    return undefined;
  }

  private unload(artifact: string): undefined {
    const model = this.models.get(artifact);
    if (!model || model.state === 'unloading') return;
    model.state = 'unloading';
    this.options.clock.setTimer(UNLOAD_MS, () => {
      this.models.delete(artifact);
      this.recordState();
    });
  }

  private recordState(): void {
    const kvUsedBytes = [...this.requests.values()].reduce((a, b) => a + b, 0);
    const committedBytes = this.weightBytes() + kvUsedBytes;
    const {capacityBytes} = this.options;
    if (committedBytes > capacityBytes) {
      this.violations.push(`${committedBytes} of ${capacityBytes}`);
    }
    this.history.push({
      takenAtMs: this.nowMs(),
      running: this.requests.size,
      queued: 0,
      kvUsedBytes,
      kvCapacityBytes: capacityBytes,
      memoryCapacityBytes: capacityBytes,
      role: '',
      models: [...this.models].map(([artifact, model]) => ({
        artifact,
        ...model,
      })),
      highestFencing: this.highestFencing,
    });
  }
}
