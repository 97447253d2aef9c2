import {sleep, type Clock, type Logger, type Metrics} from '@banyanfold/core';
import {Backoff} from '@banyanfold/log';
import type {MemoryLedger} from '../memory/memoryLedger.js';
import type {EngineOrder, OrderResult} from './engineSchemas.js';

/** After this many transmissions, only reports resolve a load order. */
const MAX_LOAD_TRANSMISSIONS = 4;
const MAX_ROLE_TRANSMISSIONS = 4;
const MAX_RESEND_DELAY_MS = 2_000;

/** The engine interface that the sender uses. */
export interface OrderTarget {
  order(order: EngineOrder): Promise<OrderResult>;
}

/** Options of an `OrderSender`. */
export interface OrderSenderOptions {
  engine: OrderTarget;
  ledger: MemoryLedger;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  random: () => number;
  /** The current fencing token, or undefined if there is none. */
  fencing(): number | undefined;
  /** Another agent has a higher token, so this one must send no more orders. */
  onSuperseded(highestFencing: number): void;
  resendDelayMs?: number;
}

const DEFAULT_RESEND_DELAY_MS = 100;

/**
 * Sends orders to the engine and records their results in the ledger.
 *
 * Orders and their responses can be lost. An order is resent under the same id,
 * which the engine accepts only once, so a resend is safe and usually resolves
 * the uncertainty. An order whose result stays unknown keeps its bytes reserved
 * in the ledger.
 */
export class OrderSender {
  private stopped = false;
  private readonly handlers: Record<
    OrderResult['kind'],
    (result: OrderResult) => TransmitDecision
  >;

  constructor(private readonly options: OrderSenderOptions) {
    this.handlers = {
      accepted: () => 'done',
      refused: () => 'give-up',
      'not-sent': () => 'again',
      'answer-lost': () => 'again',
      'stale-fencing': result => this.handleStaleFencing(result),
    };
  }

  stop(): void {
    this.stopped = true;
  }

  /** Sends a load order whose bytes the ledger has reserved. */
  async load(artifact: string, bytes: number, orderId: string): Promise<void> {
    const {ledger} = this.options;
    const order = this.newOrder({orderId, kind: 'load', artifact, bytes});
    const sent = await this.transmit(order, MAX_LOAD_TRANSMISSIONS, {
      beforeSend: () => ledger.noteLoadSent(orderId),
    });
    if (sent.result?.kind === 'accepted') {
      ledger.noteLoadAccepted(orderId, sent.result.visibleAfterMs);
      return;
    }
    if (sent.mayHaveArrived) ledger.noteLoadInDoubt(orderId);
    else ledger.noteLoadNeverSent(orderId);
    this.options.logger.warn('load-order-open', {
      artifact,
      order: orderId,
      answer: sent.result?.kind,
      state: ledger.get(artifact)?.state ?? 'free',
    });
  }

  /**
   * Sends an unload order until the engine accepts it; the bytes stay reserved.
   * An order that a later barrier made stale is sent again as a new order.
   */
  async unload(artifact: string, nextOrderId: () => string): Promise<void> {
    const {ledger, clock, fencing} = this.options;
    while (!this.stopped && fencing() !== undefined) {
      const orderId = nextOrderId();
      ledger.startRelease(artifact, orderId);
      const order = this.newOrder({orderId, kind: 'unload', artifact});
      // Once a report shows the copy as gone, it may be loaded again. A resend
      // would then unload the new copy, which has not been retired.
      const isStillNeeded = () =>
        ledger.get(artifact)?.unloadOrderId === orderId;
      const sent = await this.transmit(order, Number.POSITIVE_INFINITY, {
        isStillNeeded,
      });
      if (sent.result?.kind === 'accepted') {
        ledger.noteUnloadAccepted(orderId, sent.result.visibleAfterMs);
        return;
      }
      await sleep(clock, MAX_RESEND_DELAY_MS);
      if (!isStillNeeded()) return;
    }
  }

  /**
   * Sets the engine's role. An order with the current role has no effect except
   * to invalidate all orders with lower fencing tokens.
   *
   * @returns the time on the engine's clock after which reports reflect it;
   *     undefined if the engine did not confirm.
   */
  async setRole(role: string, orderId: string): Promise<number | undefined> {
    const order = this.newOrder({orderId, kind: 'set-role', role});
    const sent = await this.transmit(order, MAX_ROLE_TRANSMISSIONS);
    if (sent.result?.kind !== 'accepted') return undefined;
    return sent.result.visibleAfterMs;
  }

  private newOrder(
    order: Pick<EngineOrder, 'orderId' | 'kind'> & Partial<EngineOrder>,
  ): EngineOrder {
    const fencing = this.options.fencing() ?? 0;
    return {artifact: '', bytes: 0, role: '', fencing, ...order};
  }

  private async transmit(
    order: EngineOrder,
    maxTransmissions: number,
    {beforeSend = () => {}, isStillNeeded = () => true}: TransmitHooks = {},
  ): Promise<TransmitResult> {
    const {clock, engine, random} = this.options;
    const baseMs = this.options.resendDelayMs ?? DEFAULT_RESEND_DELAY_MS;
    const backoff = new Backoff({baseMs, capMs: MAX_RESEND_DELAY_MS, random});
    const sent: TransmitResult = {mayHaveArrived: false, result: undefined};
    for (let count = 1; !this.stopped && isStillNeeded(); count++) {
      beforeSend();
      sent.result = await engine.order(order);
      if (sent.result.kind !== 'not-sent') sent.mayHaveArrived = true;
      this.recordTransmission(order, sent.result, count);
      const decision = this.handlers[sent.result.kind](sent.result);
      if (decision !== 'again' || count >= maxTransmissions) break;
      await sleep(clock, backoff.nextDelayMs());
    }
    return sent;
  }

  private recordTransmission(
    order: EngineOrder,
    result: OrderResult,
    count: number,
  ): void {
    const {logger, metrics} = this.options;
    metrics.count('agent_orders_total', {
      kind: order.kind,
      answer: result.kind,
    });
    logger.info('order', {
      order: order.orderId,
      kind: order.kind,
      artifact: order.artifact || undefined,
      fencing: order.fencing,
      transmission: count,
      answer: result.kind === 'refused' ? result.code : result.kind,
      visibleAfterMs:
        result.kind === 'accepted' ? result.visibleAfterMs : undefined,
    });
  }

  /**
   * A token above this agent's newest belongs to another agent of this engine.
   * Otherwise a barrier of this agent was processed before this order.
   */
  private handleStaleFencing(result: OrderResult): TransmitDecision {
    if (result.kind !== 'stale-fencing') return 'give-up';
    const {fencing, onSuperseded} = this.options;
    const ownToken = fencing() ?? 0;
    if (result.highestFencing > ownToken) onSuperseded(result.highestFencing);
    return 'give-up';
  }
}

interface TransmitHooks {
  /** Called before each transmission. */
  beforeSend?(): void;
  /** Called before each transmission; returning false ends them. */
  isStillNeeded?(): boolean;
}

type TransmitDecision = 'done' | 'again' | 'give-up';

interface TransmitResult {
  /** Whether any transmission may have reached the engine. */
  mayHaveArrived: boolean;
  result: OrderResult | undefined;
}
