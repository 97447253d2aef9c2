import {err, ok} from 'neverthrow';
import {refuse, type Answer} from '../common/refusal.js';
import type {TruthRecord} from '../common/truth.js';
import type {ModelLoader} from './ModelLoader.js';
import type {EngineOrder, OrderAnswer} from './orders.js';

export interface OrderBookOptions {
  nowMs: () => number;
  checksFencing: boolean;
  truth: TruthRecord;
  loader: ModelLoader;
  setRole: (role: string) => void;
}

type OrderHandlers = Record<
  EngineOrder['kind'],
  (order: EngineOrder) => Answer<void>
>;

/** Applies the orders that reach the engine, each once. */
export class OrderBook {
  private readonly accepted = new Map<string, OrderAnswer>();
  private readonly handlers: OrderHandlers;
  private highest = 0;

  constructor(private readonly options: OrderBookOptions) {
    const {loader, setRole} = options;
    this.handlers = {
      load: ({artifact, bytes}) => loader.load(artifact, bytes),
      unload: ({artifact}) => loader.unload(artifact),
      'set-role': ({role}) => ok(setRole(role)),
    };
  }

  /** 0 on an engine that does not check. */
  get highestFencing(): number {
    return this.highest;
  }

  apply(order: EngineOrder): Answer<OrderAnswer> {
    const earlier = this.accepted.get(order.orderId);
    if (earlier) return ok(earlier);
    const receivedAtMs = this.options.nowMs();
    const checked = this.checkFencing(order);
    const applied = checked.andThen(() => this.handlers[order.kind](order));
    if (applied.isErr()) {
      this.record('order-refused', order, {code: applied.error.code});
      return err(applied.error);
    }
    const {orderId} = order;
    const answer: OrderAnswer = {orderId, accepted: true, receivedAtMs};
    this.accepted.set(orderId, answer);
    this.record('order-applied', order);
    return ok(answer);
  }

  private record(
    kind: string,
    {kind: orderKind, ...fields}: EngineOrder,
    extra: Record<string, unknown> = {},
  ): void {
    this.options.truth.add(kind, {orderKind, ...fields, ...extra});
  }

  private checkFencing({fencing}: EngineOrder): Answer<void> {
    if (!this.options.checksFencing) return ok(undefined);
    if (fencing < this.highest) {
      const detail = {highestFencing: this.highest};
      return refuse(409, 'stale-fencing', {detail});
    }
    this.highest = fencing;
    return ok(undefined);
  }
}
