import {
  BanyanfoldError,
  MemoryLogger,
  Metrics,
  VirtualClock,
} from '@banyanfold/core';
import type {LogService} from '@banyanfold/log';
import {errAsync, okAsync} from 'neverthrow';
import {EngineMonitor} from '../control/engineMonitor.js';
import {ProposalHandler} from '../control/proposalHandler.js';
import {FencingTokenManager} from '../engine/fencingTokenManager.js';
import {OrderSender} from '../engine/orderSender.js';
import {MemoryLedger} from '../memory/memoryLedger.js';
import {SimulatedEngine, type OrderFault} from './simulatedEngine.js';

export const CAPACITY_BYTES = 100;
export const LATE_BOUND_MS = 300;
const REPORT_INTERVAL_MS = 20;

export type Step =
  | {kind: 'advance'; ms: number}
  | {kind: 'load'; artifact: string; bytes: number}
  | {kind: 'retire'; artifact: string}
  | {kind: 'request'; bytes: number}
  | {kind: 'finish'}
  | {kind: 'crash'}
  | {kind: 'order-faults'; faults: Array<{fault: OrderFault; lateMs: number}>}
  | {kind: 'report-lag'; ms: number}
  | {kind: 'refuse-loads'; count: number}
  | {kind: 'log'; isUp: boolean};

/**
 * Simulates an engine and its agent on a virtual clock, with faults of the
 * orders, the reports, the agent and the log.
 */
export class LedgerSimulation {
  readonly clock = new VirtualClock();
  readonly engine: SimulatedEngine;
  ledger!: MemoryLedger;
  private agent!: {proposals: ProposalHandler; stop(): void};
  private isLogAvailable = true;
  private nextOffset = 1;
  private sequence = 0;
  private ownRequests: string[] = [];

  constructor(private readonly checksFencing: boolean) {
    this.engine = new SimulatedEngine({
      clock: this.clock,
      checksFencing,
      capacityBytes: CAPACITY_BYTES,
      lateBoundMs: LATE_BOUND_MS,
    });
    this.startAgent();
  }

  /** Executes one step. */
  async run(step: Step): Promise<void> {
    await (this.handlers[step.kind] as (step: Step) => unknown)(step);
    await this.clock.advance(0);
  }

  /** Clears all faults and advances time until no order can be in flight. */
  async settle(): Promise<void> {
    this.engine.faults = [];
    this.engine.reportLagMs = 0;
    this.isLogAvailable = true;
    for (const key of this.engine.openRequests()) this.engine.endRequest(key);
    for (const key of this.ownRequests.splice(0)) {
      this.ledger.budget.releaseKv(key);
    }
    await this.clock.advance(20_000);
  }

  private readonly handlers: {
    [K in Step['kind']]: (step: Extract<Step, {kind: K}>) => unknown;
  } = {
    advance: ({ms}) => this.clock.advance(ms),
    load: ({artifact, bytes}) => this.propose('load', artifact, bytes),
    retire: ({artifact}) => this.propose('retire', artifact, 0),
    request: ({bytes}) => {
      const {budget} = this.ledger;
      if (budget.kvFreeBytes() < bytes) return;
      const key = `request-${++this.sequence}`;
      budget.reserveKv(key, bytes);
      this.engine.beginRequest(key, bytes);
      this.ownRequests.push(key);
    },
    finish: () => {
      const [key] = this.engine.openRequests();
      if (key === undefined) return;
      this.engine.endRequest(key);
      this.ledger.budget.releaseKv(key);
    },
    crash: () => {
      this.agent.stop();
      this.ownRequests = [];
      this.startAgent();
    },
    'order-faults': ({faults}) => {
      this.engine.faults = [...faults];
    },
    'report-lag': ({ms}) => {
      this.engine.reportLagMs = ms;
    },
    'refuse-loads': ({count}) => {
      this.engine.loadsToRefuse = count;
    },
    log: ({isUp}) => {
      this.isLogAvailable = isUp;
    },
  };

  private propose(
    kind: 'load' | 'retire',
    artifact: string,
    bytes: number,
  ): void {
    void this.agent.proposals.propose({
      proposalId: `proposal-${++this.sequence}`,
      plannerEpoch: 1,
      kind,
      artifact,
      bytes,
      runnerRole: '',
      reliesOnCopyIds: ['elsewhere'],
      viewedAtMs: 0,
    });
  }

  /** Starts an agent; since agents bind a port, only one runs at a time. */
  private startAgent(): void {
    const {clock, engine, checksFencing} = this;
    const logger = new MemoryLogger();
    const metrics = new Metrics();
    const random = () => 0.5;
    const incarnation = ++this.sequence;
    const nextOrderId = (artifact: string) =>
      `${artifact}#${incarnation}.${++this.sequence}`;
    const ledger = new MemoryLedger({
      clock,
      checksFencing,
      orderLateBoundMs: LATE_BOUND_MS,
      kvPool: 'shared',
      kvFloorShare: 0.1,
      inheritedBoundMs: 1_000_000,
      createCopyId: nextOrderId,
    });
    const fence = new FencingTokenManager({
      log: this.log,
      vmId: 'agent-1',
      clock,
      logger,
      random,
    });
    const orders = new OrderSender({
      engine,
      ledger,
      clock,
      logger,
      metrics,
      random,
      fencing: () => fence.current(),
      onSuperseded: () => fence.markSuperseded(),
      resendDelayMs: 10,
    });
    const engineMonitor = new EngineMonitor({
      clock,
      logger,
      metrics,
      random,
      engine,
      ledger,
      orders,
      fence,
      intervalMs: REPORT_INTERVAL_MS,
      runnerRole: () => '',
      nextOrderId,
      onReport: () => {},
    });
    const proposals = new ProposalHandler({
      clock,
      logger,
      metrics,
      ledger,
      orders,
      retirements: {
        retireCopy: () => okAsync({kind: 'accepted'}),
        isRetired: () => false,
      },
      isUnpublished: async () => false,
      inheritedRetireHoldMs: 0,
      hasFence: () => fence.current() !== undefined,
      isLeaving: () => false,
      nextOrderId,
      setRunnerRole: () => {},
    });
    void fence.acquire();
    void engineMonitor.start();
    this.ledger = ledger;
    this.agent = {
      proposals,
      stop: () =>
        [fence, orders, engineMonitor, proposals].forEach(p => p.stop()),
    };
  }

  private readonly log: Pick<LogService, 'append' | 'read'> = {
    append: () => {
      if (this.isLogAvailable) {
        const firstOffset = this.nextOffset++;
        const answer = {firstOffset, lastOffset: firstOffset, appendedAtMs: 0};
        return okAsync(answer);
      }
      const details = {step: 'append-fences', peer: 'log'};
      return errAsync(new BanyanfoldError('log-unavailable', 'out', details));
    },
    read: () => okAsync({firstOffset: 1, nextOffset: 1, nowMs: 0, records: []}),
  };
}
