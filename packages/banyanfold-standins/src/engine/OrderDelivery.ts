import {sleep, type Clock} from '@banyanfold/core';
import type {FaultSwitches} from '../common/faultSwitches.js';
import {CONNECTION_CUT, never, refuse, type Answer} from '../common/refusal.js';
import type {TruthRecord} from '../common/truth.js';
import type {engineFaultsSchema} from './options.js';
import type {EngineOrder, OrderAnswer} from './orders.js';

export interface OrderDeliveryOptions {
  clock: Clock;
  faults: FaultSwitches<typeof engineFaultsSchema>;
  truth: TruthRecord;
  apply: (order: EngineOrder) => Answer<OrderAnswer>;
}

type OrderFault = 'lost' | 'answer-lost' | 'late';

type DeliveryHandlers = Record<
  OrderFault,
  (order: EngineOrder) => Promise<Answer<OrderAnswer>>
>;

const FAULT_FIELDS = [
  ['lost', 'loseNextOrders', 'orderLossProbability'],
  ['answer-lost', 'loseNextOrderAnswers', 'orderAnswerLossProbability'],
  ['late', 'lateNextOrders', 'orderLateProbability'],
] as const;

/** The way of an order to the engine and of its answer back. */
export class OrderDelivery {
  private readonly handlers: DeliveryHandlers = {
    lost: () => never(),
    'answer-lost': async order => this.loseAnswer(order),
    late: order => this.applyLate(order),
  };

  constructor(private readonly options: OrderDeliveryOptions) {}

  async deliver(order: EngineOrder): Promise<Answer<OrderAnswer>> {
    const fault = this.pickFault();
    if (!fault) return this.options.apply(order);
    const {orderId, kind: orderKind} = order;
    this.options.truth.add(`order-${fault}`, {orderId, orderKind});
    return this.handlers[fault](order);
  }

  private pickFault(): OrderFault | undefined {
    const {faults} = this.options;
    for (const [fault, countField, probabilityField] of FAULT_FIELDS) {
      if (faults.takeNext(countField)) return fault;
      if (faults.happens(probabilityField)) return fault;
    }
    return undefined;
  }

  private loseAnswer(order: EngineOrder): Answer<OrderAnswer> {
    this.options.apply(order);
    return refuse(CONNECTION_CUT, 'answer-lost');
  }

  private async applyLate(order: EngineOrder): Promise<Answer<OrderAnswer>> {
    const {clock, faults, apply} = this.options;
    const {orderLateMs, lateOrdersAnswered} = faults.get();
    const applied = sleep(clock, orderLateMs).then(() => apply(order));
    if (lateOrdersAnswered) return applied;
    return refuse(CONNECTION_CUT, 'answer-lost');
  }
}
