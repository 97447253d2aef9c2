import {
  decideWait,
  planCopies,
  type CopyModel,
  type CopyOrder,
  type CopyRunner,
} from '@banyanfold/decisions';
import {FleetDemand} from '../placement/fleetDemand.js';
import {randomOf} from './randomOf.js';

/** Requests for busy and rare models, and the runners that hold them. */
export interface CopyScenario {
  seed: number;
  runners: number;
  /** Runners that end, with all that they hold, and when. */
  lostRunners: number;
  lostAtMs: number;
  /** Models that many requests are for, and their requests per second. */
  busyModels: number;
  busyPerSecond: number;
  /**
   * Requests for each busy model that wait for a slot for their adapter, at
   * runners that hold the model.
   */
  waitingForAdapter: number;
  /** Models that few requests are for each, and the sum of these. */
  rareModels: number;
  rarePerSecond: number;
  durationMs: number;
  /** Rare requests are counted from this time on. */
  countedFromMs: number;
}

export interface CopyResult {
  /** Share of the rare requests that got a copy while they waited. */
  rareServed: number;
}

interface SimulatedRunner {
  runnerId: string;
  failureDomain: string;
  models: Set<string>;
  /** Least recently loaded first. */
  inMemory: string[];
  onDisk: string[];
  order?: {kind: 'load' | 'unload'; model: string; endMs: number};
  intendedModel?: string;
}

interface WaitingRequest {
  model: string;
  deadlineMs: number;
  isCounted: boolean;
}

const TICK_MS = 50;
const PLAN_INTERVAL_MS = 150;
const WEIGHTS_MB = 230_000;
const MODEL_MB = 72_700;
const ADAPTERS_MB = 330;
const SLOTS = 64;
const MODELS_IN_MEMORY = 2;
const MODELS_ON_DISK = 6;
const STORE_LOAD_MS = 6_400;
const DISK_LOAD_MS = 1_300;
const MEMORY_LOAD_MS = 600;
const UNLOAD_MS = 300;
const RUN_MS = 800;
const LOADS_PER_SECOND = 7;
const LOAD_WINDOW_MS = 5_000;
const PROMPT_TOKENS = 9_000;
const OUTPUT_TOKENS = 50;
const URGENCY = 1.5;
const PATIENCE_MS = 15_000;
/** Time to free memory and to tell entries, as entries are told. */
const MAKE_ROOM_MS = 1_200;
const PROPAGATION_MS = 250;
const MS_PER_SECOND = 1_000;

/** Plays requests, plans and loads on a virtual clock. */
export function simulateCopies(scenario: CopyScenario): CopyResult {
  return new CopySimulation(scenario).run();
}

class CopySimulation {
  private nowMs = 0;
  private readonly random: () => number;
  private runners: SimulatedRunner[];
  private readonly names: string[];
  private readonly demand = new FleetDemand();
  private waiting: WaitingRequest[] = [];
  private storeLoadsMs: number[] = [];
  private served = 0;
  private counted = 0;

  constructor(private readonly scenario: CopyScenario) {
    const {seed, runners, busyModels, rareModels} = scenario;
    this.random = randomOf(seed);
    this.names = [
      ...Array.from({length: busyModels}, (_, i) => `busy-${i}`),
      ...Array.from({length: rareModels}, (_, i) => `rare-${i}`),
    ];
    this.runners = Array.from({length: runners}, (_, i) => ({
      runnerId: `r${i}`,
      failureDomain: `d${i % 4}`,
      models: new Set(),
      inMemory: [],
      onDisk: [],
    }));
    const places = Math.floor(WEIGHTS_MB / MODEL_MB);
    let next = 0;
    for (const runner of this.runners) {
      while (runner.models.size < places) {
        const name = this.names[next++ % this.names.length]!;
        runner.models.add(name);
        keepWeights(runner, name);
      }
    }
  }

  run(): CopyResult {
    const {durationMs, lostRunners, lostAtMs} = this.scenario;
    for (; this.nowMs < durationMs; this.nowMs += TICK_MS) {
      if (this.nowMs === lostAtMs) this.runners.splice(0, lostRunners);
      this.endOrders();
      this.addArrivals();
      this.serveWaiting();
      if (this.nowMs % PLAN_INTERVAL_MS === 0) this.plan();
    }
    return {rareServed: this.served / this.counted};
  }

  private endOrders(): void {
    for (const runner of this.runners) {
      const {order} = runner;
      if (!order || order.endMs > this.nowMs) continue;
      runner.order = undefined;
      if (order.kind === 'load') {
        runner.models.add(order.model);
        keepWeights(runner, order.model);
      }
    }
  }

  private addArrivals(): void {
    const {busyModels, busyPerSecond, rareModels, rarePerSecond} =
      this.scenario;
    const weights = Array.from({length: busyModels}, (_, i) => 1 / (i + 2));
    const sum = weights.reduce((total, weight) => total + weight, 0);
    weights.forEach((weight, i) => {
      const perSecond = (busyPerSecond * weight) / sum;
      for (let n = this.drawCount(perSecond); n > 0; n--) {
        this.recordArrival(`busy-${i}`);
      }
    });
    for (let n = this.drawCount(rarePerSecond); n > 0; n--) {
      const model = `rare-${Math.floor(this.random() * rareModels)}`;
      this.recordArrival(model);
      const isCounted = this.isCounted();
      if (isCounted) this.counted += 1;
      const deadlineMs = this.nowMs + PATIENCE_MS;
      this.waiting.push({model, deadlineMs, isCounted});
    }
  }

  /** Requests that come too late for an answer aren't counted. */
  private isCounted(): boolean {
    const {countedFromMs, durationMs} = this.scenario;
    return this.nowMs >= countedFromMs && this.nowMs < durationMs - PATIENCE_MS;
  }

  private drawCount(perSecond: number): number {
    const expected = (perSecond * TICK_MS) / MS_PER_SECOND;
    const whole = Math.floor(expected);
    return whole + (this.random() < expected - whole ? 1 : 0);
  }

  private recordArrival(model: string): void {
    const arrival = {
      model,
      arrivals: URGENCY,
      promptTokens: PROMPT_TOKENS,
      outputTokens: OUTPUT_TOKENS,
      adapters: {},
    };
    this.demand.record([arrival], this.nowMs);
  }

  private serveWaiting(): void {
    this.waiting = this.waiting.filter(({model, deadlineMs, isCounted}) => {
      if (this.runners.some(runner => serves(runner, model))) {
        if (isCounted) this.served += 1;
        return false;
      }
      const leftMs = deadlineMs - this.nowMs;
      const copyInMs = this.copyDelayMs(model);
      return decideWait({leftMs, copyInMs}).kind === 'wait';
    });
  }

  private copyDelayMs(model: string): number {
    const loading = this.runners
      .filter(({order}) => order?.kind === 'load' && order.model === model)
      .map(({order}) => order!.endMs - this.nowMs);
    if (loading.length > 0) return Math.min(...loading) + PROPAGATION_MS;
    const loadMs = Math.min(...this.runners.map(r => loadMsOf(r, model)));
    return loadMs + MAKE_ROOM_MS + PROPAGATION_MS;
  }

  private plan(): void {
    this.storeLoadsMs = this.storeLoadsMs.filter(
      atMs => this.nowMs - atMs < LOAD_WINDOW_MS,
    );
    const allowed = (LOADS_PER_SECOND * LOAD_WINDOW_MS) / MS_PER_SECOND;
    const orders = planCopies({
      runners: this.runners.map(runner => this.toCopyRunner(runner)),
      models: this.names.map(name => this.toCopyModel(name)),
      storeLoadsLeft: Math.max(0, allowed - this.storeLoadsMs.length),
    });
    for (const order of orders) this.execute(order);
  }

  private toCopyRunner(runner: SimulatedRunner): CopyRunner {
    const {runnerId, failureDomain, models, order} = runner;
    const {inMemory, onDisk, intendedModel} = runner;
    const isLoading = order?.kind === 'load';
    return {
      runnerId,
      failureDomain,
      weightsMb: WEIGHTS_MB,
      reservedMb: ADAPTERS_MB,
      models: isLoading ? [...models, order.model] : [...models],
      isBusy: order !== undefined,
      slots: SLOTS,
      inUse: this.requestsInUse(runner),
      inMemory,
      onDisk,
      intendedModel,
      loadingModel: isLoading ? order.model : undefined,
      loadingLeftMs: isLoading ? order.endMs - this.nowMs : undefined,
    };
  }

  private requestsInUse(runner: SimulatedRunner): Record<string, number> {
    const inUse: Record<string, number> = {};
    for (const model of runner.models) {
      const perSecond =
        this.demand.requestsPerSecond(model, this.nowMs) / URGENCY;
      const copies = this.runners.filter(r => serves(r, model)).length;
      const running = (perSecond * RUN_MS) / MS_PER_SECOND / copies;
      const count = Math.round(running);
      if (count > 0) inUse[model] = count;
    }
    return inUse;
  }

  private toCopyModel(name: string): CopyModel {
    const {demand, nowMs} = this;
    const waiting = name.startsWith('busy')
      ? this.scenario.waitingForAdapter
      : this.waiting.filter(({model}) => model === name).length;
    return {
      name,
      weightsMb: MODEL_MB,
      storeLoadMs: STORE_LOAD_MS,
      diskLoadMs: DISK_LOAD_MS,
      memoryLoadMs: MEMORY_LOAD_MS,
      workPerSecond: demand.workPerSecond(name, nowMs),
      requestsPerSecond: demand.requestsPerSecond(name, nowMs),
      longTermRequestsPerSecond: demand.usualRequestsPerSecond(name, nowMs),
      waiting,
      idleMs: waiting > 0 ? 0 : demand.idleMs(name, nowMs),
    };
  }

  private execute({kind, runnerId, model, isFromStore, roomFor}: CopyOrder) {
    const runner = this.runners.find(each => each.runnerId === runnerId)!;
    runner.intendedModel = roomFor;
    if (kind === 'unload') {
      const isInUse = (this.requestsInUse(runner)[model] ?? 0) > 0;
      runner.models.delete(model);
      const tookMs = UNLOAD_MS + (isInUse ? RUN_MS : 0);
      runner.order = {kind, model, endMs: this.nowMs + tookMs};
      return;
    }
    if (isFromStore) this.storeLoadsMs.push(this.nowMs);
    const endMs = this.nowMs + loadMsOf(runner, model);
    runner.order = {kind, model, endMs};
  }
}

function serves({models}: SimulatedRunner, model: string): boolean {
  return models.has(model);
}

function loadMsOf({inMemory, onDisk}: SimulatedRunner, model: string): number {
  if (inMemory.includes(model)) return MEMORY_LOAD_MS;
  return onDisk.includes(model) ? DISK_LOAD_MS : STORE_LOAD_MS;
}

/** Each load leaves the weights in memory and on disk. */
function keepWeights(runner: SimulatedRunner, model: string): void {
  const {inMemory, onDisk} = runner;
  runner.inMemory = keepLast(inMemory, model, MODELS_IN_MEMORY);
  runner.onDisk = keepLast(onDisk, model, MODELS_ON_DISK);
}

function keepLast(names: string[], name: string, count: number): string[] {
  return [...names.filter(each => each !== name), name].slice(-count);
}
