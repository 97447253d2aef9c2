import {sleep, type Clock, type Logger, type Metrics} from '@banyanfold/core';
import {Backoff} from '@banyanfold/log';
import type {MemoryLedger} from '../memory/memoryLedger.js';
import type {EngineOrder, OrderAnswer} from './engineSchemas.js';

/** After this many transmissions a load order is left to the reports. */
const MAX_LOAD_TRANSMISSIONS = 4;
const MAX_ROLE_TRANSMISSIONS = 4;
const RESEND_CAP_MS = 2_000;

/** What the sender needs of the engine. */
export interface OrderTarget {
  order(order: EngineOrder): Promise<OrderAnswer>;
}

/** How an order sender is built. */
export interface OrderSenderOptions {
  engine: OrderTarget;
  ledger: MemoryLedger;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  random: () => number;
  /** The fencing number in force, or undefined while there is none. */
  fencing(): number | undefined;
  /** Another agent has a higher number: this one must give no more orders. */
  onSuperseded(highestFencing: number): void;
  resendDelayMs?: number;
}

const DEFAULT_RESEND_DELAY_MS = 100;

/**
 * Gives the engine its orders and tells the ledger what became of them.
 *
 * Orders and their answers get lost. An order is sent again under the same id,
 * which the engine takes once, so a resend is safe and soon ends the doubt; what
 * stays in doubt keeps its bytes in the ledger.
 */
export class OrderSender {
  private stopped = false;
  private readonly handlers: Record<
    OrderAnswer['kind'],
    (answer: OrderAnswer) => Verdict
  >;

  constructor(private readonly options: OrderSenderOptions) {
    this.handlers = {
      accepted: () => 'done',
      refused: () => 'give-up',
      'not-sent': () => 'again',
      'answer-lost': () => 'again',
      'stale-fencing': answer => this.noteStale(answer),
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
    if (sent.answer?.kind === 'accepted') {
      ledger.noteLoadAccepted(orderId, sent.answer.visibleAfterMs);
      return;
    }
    if (sent.left) ledger.noteLoadInDoubt(orderId);
    else ledger.noteLoadNeverSent(orderId);
    this.options.logger.warn('load-order-open', {
      artifact,
      order: orderId,
      answer: sent.answer?.kind,
      state: ledger.get(artifact)?.state ?? 'free',
    });
  }

  /**
   * Sends an unload order until the engine takes it; the bytes stay counted.
   * One that a barrier overtook goes again as a new order.
   */
  async unload(artifact: string, nextOrderId: () => string): Promise<void> {
    const {ledger, clock, fencing} = this.options;
    while (!this.stopped && fencing() !== undefined) {
      const orderId = nextOrderId();
      ledger.startRelease(artifact, orderId);
      const order = this.newOrder({orderId, kind: 'unload', artifact});
      // A copy that a report showed as gone may be loaded anew; sent again, the
      // order would take that one, which nobody retired.
      const isWanted = () => ledger.get(artifact)?.unloadOrderId === orderId;
      const sent = await this.transmit(order, Number.POSITIVE_INFINITY, {
        isWanted,
      });
      if (sent.answer?.kind === 'accepted') {
        ledger.noteUnloadAccepted(orderId, sent.answer.visibleAfterMs);
        return;
      }
      await sleep(clock, RESEND_CAP_MS);
      if (!isWanted()) return;
    }
  }

  /**
   * Asks the engine to take a role. With the role that it has, the order
   * changes nothing but ends all orders under lower fencing numbers.
   *
   * @returns the time on the engine's clock after which reports show it;
   *     undefined when the engine did not confirm.
   */
  async setRole(role: string, orderId: string): Promise<number | undefined> {
    const order = this.newOrder({orderId, kind: 'set-role', role});
    const sent = await this.transmit(order, MAX_ROLE_TRANSMISSIONS);
    if (sent.answer?.kind !== 'accepted') return undefined;
    return sent.answer.visibleAfterMs;
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
    {beforeSend = () => {}, isWanted = () => true}: TransmitHooks = {},
  ): Promise<Sent> {
    const {clock, engine, random} = this.options;
    const baseMs = this.options.resendDelayMs ?? DEFAULT_RESEND_DELAY_MS;
    const backoff = new Backoff({baseMs, capMs: RESEND_CAP_MS, random});
    const sent: Sent = {left: false, answer: undefined};
    for (let count = 1; !this.stopped && isWanted(); count++) {
      beforeSend();
      sent.answer = await engine.order(order);
      if (sent.answer.kind !== 'not-sent') sent.left = true;
      this.record(order, sent.answer, count);
      const verdict = this.handlers[sent.answer.kind](sent.answer);
      if (verdict !== 'again' || count >= maxTransmissions) break;
      await sleep(clock, backoff.nextDelayMs());
    }
    return sent;
  }

  private record(order: EngineOrder, answer: OrderAnswer, count: number): void {
    const {logger, metrics} = this.options;
    metrics.count('agent_orders_total', {
      kind: order.kind,
      answer: answer.kind,
    });
    logger.info('order', {
      order: order.orderId,
      kind: order.kind,
      artifact: order.artifact || undefined,
      fencing: order.fencing,
      transmission: count,
      answer: answer.kind === 'refused' ? answer.code : answer.kind,
      visibleAfterMs:
        answer.kind === 'accepted' ? answer.visibleAfterMs : undefined,
    });
  }

  /**
   * A number above our newest belongs to another agent beside this engine. One
   * that is ours only says that a barrier overtook this order.
   */
  private noteStale(answer: OrderAnswer): Verdict {
    if (answer.kind !== 'stale-fencing') return 'give-up';
    const {fencing, onSuperseded} = this.options;
    const ownNumber = fencing() ?? 0;
    if (answer.highestFencing > ownNumber) onSuperseded(answer.highestFencing);
    return 'give-up';
  }
}

interface TransmitHooks {
  /** Called before each transmission. */
  beforeSend?(): void;
  /** Asked before each transmission; no ends them. */
  isWanted?(): boolean;
}

type Verdict = 'done' | 'again' | 'give-up';

interface Sent {
  /** Whether any transmission may have reached the engine. */
  left: boolean;
  answer: OrderAnswer | undefined;
}
