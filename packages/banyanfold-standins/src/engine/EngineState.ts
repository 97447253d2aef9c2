import type {Clock} from '@banyanfold/core';
import type {z} from 'zod';
import {FaultSwitches} from '../common/faultSwitches.js';
import {refuse, type Answer} from '../common/refusal.js';
import {resolveContext, type StateContext} from '../common/standinOptions.js';
import {TruthRecord} from '../common/truth.js';
import type {WeightSource} from '../weightStore/WeightStoreState.js';
import {httpWeightSource} from '../weightStore/httpWeightSource.js';
import {CacheEventFeed, type CacheEvent} from './CacheEventFeed.js';
import type {EngineStream, InferenceRequest} from './EngineStream.js';
import {ModelLoader, localWeightSource} from './ModelLoader.js';
import {ModelMemory} from './ModelMemory.js';
import {OrderBook} from './OrderBook.js';
import {OrderDelivery} from './OrderDelivery.js';
import {PauseGate} from './PauseGate.js';
import {PrefixCache} from './PrefixCache.js';
import {ReportHistory, type EngineReport} from './ReportHistory.js';
import {RequestRunner, type CancelState} from './RequestRunner.js';
import type {KvExport} from './kvTransfer.js';
import {
  engineFaultsSchema,
  engineOptionsSchema,
  type EngineFaults,
  type EngineOptions,
} from './options.js';
import {
  engineOrderSchema,
  type EngineOrder,
  type EngineOrderInput,
  type OrderAnswer,
} from './orders.js';

export type EngineStateOptions = z.input<typeof engineOptionsSchema> & {
  faults?: Partial<EngineFaults>;
};

export interface EngineContext extends StateContext {
  /** Goes before `weightStoreUrl`. */
  weights?: WeightSource;
}

/** A model engine in memory. */
export class EngineState {
  readonly options: EngineOptions;
  readonly faults: FaultSwitches<typeof engineFaultsSchema>;
  readonly truth: TruthRecord;
  readonly memory: ModelMemory;
  readonly gate = new PauseGate();
  readonly clock: Clock;
  private readonly cache: PrefixCache;
  private readonly cacheFeed = new CacheEventFeed();
  private readonly reports = new ReportHistory();
  private readonly runner: RequestRunner;
  private readonly loader: ModelLoader;
  private readonly orders: OrderBook;
  private readonly delivery: OrderDelivery;
  private role: string;

  constructor(options: EngineStateOptions = {}, context: EngineContext = {}) {
    this.options = engineOptionsSchema.parse(options);
    const {clock, random} = resolveContext(context);
    const {faults} = options;
    this.faults = new FaultSwitches(engineFaultsSchema, faults, random);
    this.clock = withOffset(clock, this.options.clockOffsetMs);
    this.role = this.options.role;
    this.truth = new TruthRecord(this.clock, context.onTruth);
    this.memory = this.createMemory();
    this.cache = this.createCache();
    this.runner = this.createRunner();
    this.loader = this.createLoader(context.weights);
    this.orders = this.createOrders();
    this.delivery = this.createDelivery();
    this.preload();
    this.recordReport();
    this.faults.onChange(() => this.applyFaults());
    this.applyFaults();
  }

  /** The engine's own clock. */
  nowMs(): number {
    return this.clock.wallMs();
  }

  /** Queues a request; its stream can be followed and resumed. */
  submit(request: InferenceRequest): Answer<EngineStream> {
    if (this.faults.takeNext('failNextRequests')) return refuse(500, 'failed');
    return this.runner.submit(request);
  }

  findStream(requestId: string): EngineStream | undefined {
    return this.runner.find(requestId);
  }

  cancel(requestId: string): CancelState {
    return this.runner.cancel(requestId);
  }

  /** @example await engine.order({orderId: 'o1', kind: 'load', artifact}) */
  async order(order: EngineOrderInput): Promise<Answer<OrderAnswer>> {
    const checked = engineOrderSchema.safeParse(order);
    if (!checked.success) return refuse(400, 'bad-request');
    await this.gate.whenAwake();
    return this.delivery.deliver(checked.data);
  }

  report(): EngineReport {
    return this.reports.at(this.reportTimeMs());
  }

  cacheEvents(fromSeq: number): {nextSeq: number; events: CacheEvent[]} {
    const {cacheEventLagMs} = this.options;
    const lagMs = this.faults.get().cacheEventLagMs ?? cacheEventLagMs;
    return this.cacheFeed.read(fromSeq, this.nowMs() - lagMs);
  }

  exportKv(requestId: string): Answer<KvExport> {
    return this.runner.exportKv(requestId);
  }

  importKv(exported: KvExport): Answer<{bytes: number}> {
    return this.runner.importKv(exported);
  }

  private createMemory(): ModelMemory {
    return new ModelMemory(
      {
        capacityBytes: this.options.memoryCapacityBytes,
        isUnprotected: () => this.faults.get().unprotectedMemory,
        onChange: () => this.recordReport(),
      },
      this.truth,
    );
  }

  private createCache(): PrefixCache {
    const {prefixCacheBytes, cacheBlockTokens, kvBytesPerToken} = this.options;
    return new PrefixCache({
      capacityBytes: prefixCacheBytes,
      blockTokens: cacheBlockTokens,
      bytesPerToken: kvBytesPerToken,
      onChange: change => {
        const isLost = this.faults.happens('cacheEventLossProbability');
        this.cacheFeed.add({atMs: this.nowMs(), ...change}, isLost);
      },
    });
  }

  private createRunner(): RequestRunner {
    return new RequestRunner({
      clock: this.clock,
      engine: this.options,
      memory: this.memory,
      cache: this.cache,
      truth: this.truth,
      onChange: () => this.onRequestsChanged(),
    });
  }

  private createLoader(weights: WeightSource | undefined): ModelLoader {
    const {weightStoreUrl, loadBytesPerSecond, unloadMs} = this.options;
    const configured = weightStoreUrl
      ? httpWeightSource(weightStoreUrl)
      : localWeightSource(loadBytesPerSecond);
    return new ModelLoader({
      clock: this.clock,
      memory: this.memory,
      truth: this.truth,
      weights: weights ?? configured,
      unloadMs,
      isInUse: artifact => this.runner.isInUse(artifact),
      onFreed: artifact => this.cache.dropArtifact(artifact),
      whenAwake: () => this.gate.whenAwake(),
    });
  }

  private createOrders(): OrderBook {
    return new OrderBook({
      nowMs: () => this.nowMs(),
      checksFencing: this.options.checksFencing,
      truth: this.truth,
      loader: this.loader,
      setRole: role => {
        this.role = role;
      },
    });
  }

  private createDelivery(): OrderDelivery {
    return new OrderDelivery({
      clock: this.clock,
      faults: this.faults,
      truth: this.truth,
      apply: order => this.applyOrder(order),
    });
  }

  private applyOrder(order: EngineOrder): Answer<OrderAnswer> {
    const answer = this.orders.apply(order);
    this.recordReport();
    return answer;
  }

  private preload(): void {
    for (const {artifact, bytes} of this.options.models) {
      this.memory.commit(artifact, bytes, 'loaded');
    }
  }

  private onRequestsChanged(): void {
    this.recordReport();
    this.loader.freeDrained();
  }

  private recordReport(): void {
    const {kvCapacityBytes, memoryCapacityBytes} = this.options;
    this.reports.add({
      takenAtMs: this.nowMs(),
      running: this.runner.scheduler.running,
      queued: this.runner.scheduler.queued,
      kvUsedBytes: this.runner.scheduler.kvUsedBytes,
      kvCapacityBytes,
      memoryCapacityBytes,
      role: this.role,
      models: this.memory.list(),
      highestFencing: this.orders.highestFencing,
    });
  }

  private reportTimeMs(): number {
    const lagMs = this.faults.get().reportLagMs ?? this.options.reportLagMs;
    return this.nowMs() - lagMs;
  }

  private applyFaults(): void {
    const {paused, reportsFrozen} = this.faults.get();
    this.gate.set(paused);
    if (paused) this.runner.scheduler.pause();
    else this.runner.scheduler.resume();
    if (reportsFrozen) this.reports.freeze(this.reportTimeMs());
    else this.reports.thaw();
  }
}

function withOffset(clock: Clock, offsetMs: number): Clock {
  return {
    nowMs: () => clock.nowMs(),
    wallMs: () => clock.wallMs() + offsetMs,
    setTimer: (delayMs, callback) => clock.setTimer(delayMs, callback),
  };
}
