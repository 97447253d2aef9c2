import type {Socket} from 'node:net';
import type {Clock, Logger, Metrics} from '@banyanfold/core';
import {repeatEvery} from '../repeatEvery.js';
import type {RoutePolicy} from '../types.js';
import {
  decideBacklog,
  decideUnready,
  ownDelayMs,
  type BacklogView,
} from './decideBacklog.js';
import {LoopDelays} from './loopDelays.js';
import type {ResourceSettings} from './resourceSettings.js';

/** A tenth of the shortest delay that matters (1 s), at 10 wake-ups a second. */
const SAMPLE_INTERVAL_MS = 100;
/** Period over which the use of processor and link is averaged. */
const USE_PERIOD_MS = 1_000;
const MICROSECONDS_PER_MS = 1_000;
/** 1 Mbit/s in bytes per ms. */
const BYTES_PER_MS_AND_MBPS = 125;

export interface BacklogWatchOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  resources: ResourceSettings;
  /** Bytes held for callers that take them. */
  movingBytes(): number;
  /** Processor time used by the process in ms. */
  processorMs?: () => number;
}

/** Totals at the start of the period that is being measured. */
interface PeriodStart {
  atMs: number;
  processorMs: number;
  linkBytes: number;
}

/**
 * Watches how late the process is because of its own processor and link, and
 * refuses requests that it therefore can't serve in time.
 */
export class BacklogWatch {
  private readonly delays = new LoopDelays();
  private readonly sockets = new Set<Socket>();
  private readonly refusedRoutes = new Set<string>();
  private closedBytes = 0;
  private processorShare = 0;
  private linkShare: number | undefined;
  private linkBacklogMs = 0;
  private medianMs = 0;
  private isLate = false;
  private period: PeriodStart;
  private dueMs = 0;

  constructor(private readonly options: BacklogWatchOptions) {
    this.period = this.measure();
    const {metrics} = options;
    metrics.gauge('loop_delay_median_ms', () => Math.round(this.medianMs));
    metrics.gauge('processor_used_share', () => this.processorShare);
    metrics.gauge('link_used_share', () => this.linkShare ?? 0);
  }

  /** The process is too late to refuse requests in time. */
  get isUnready(): boolean {
    return this.isLate;
  }

  /** Returns a function that stops the watch. */
  start(): () => void {
    const {clock, logger} = this.options;
    this.dueMs = clock.nowMs() + SAMPLE_INTERVAL_MS;
    return repeatEvery(
      {clock, logger, step: 'sample-load', intervalMs: SAMPLE_INTERVAL_MS},
      () => {
        const nowMs = clock.nowMs();
        this.sample(Math.max(0, nowMs - this.dueMs));
        this.dueMs = nowMs + SAMPLE_INTERVAL_MS;
      },
    );
  }

  /** Counts the bytes of a caller's connection. */
  addCaller(socket: Socket): void {
    this.sockets.add(socket);
    socket.once('close', () => {
      this.sockets.delete(socket);
      this.closedBytes += bytesOf(socket);
    });
  }

  /** Records by how much a sample of the event loop was late. */
  sample(delayMs: number): void {
    const {clock, logger} = this.options;
    this.delays.record(clock.nowMs(), delayMs);
    this.medianMs = this.delays.medianMs;
    this.updateUse();
    const isLate = decideUnready(this.view, this.isLate);
    if (isLate !== this.isLate) {
      this.isLate = isLate;
      logger.warn('backlog-ready', {isReady: !isLate, ...this.fields});
    }
  }

  /** Whether a request of the route has to be refused. */
  shouldRefuse({name, targetMs}: RoutePolicy): boolean {
    const wasRefusing = this.refusedRoutes.has(name);
    const isRefusing = decideBacklog(this.view, targetMs, wasRefusing);
    if (isRefusing === wasRefusing) return isRefusing;
    if (isRefusing) this.refusedRoutes.add(name);
    else this.refusedRoutes.delete(name);
    this.options.logger.info('backlog', {
      route: name,
      isRefusing,
      targetMs,
      ...this.fields,
    });
    return isRefusing;
  }

  /** The delay that the process itself adds to a request, in ms. */
  get ownDelayMs(): number {
    return ownDelayMs(this.view);
  }

  private get view(): BacklogView {
    const {linkShare, linkBacklogMs, medianMs: loopDelayMs} = this;
    return {loopDelayMs, linkShare, linkBacklogMs};
  }

  private get fields() {
    return {
      ownDelayMs: Math.round(this.ownDelayMs),
      loopDelayMs: Math.round(this.medianMs),
      processorShare: this.processorShare,
      linkShare: this.linkShare,
    };
  }

  private updateUse(): void {
    const elapsedMs = this.options.clock.nowMs() - this.period.atMs;
    if (elapsedMs < USE_PERIOD_MS) return;
    const now = this.measure();
    const {processorShare = 1, linkMbps} = this.options.resources;
    const usedMs = now.processorMs - this.period.processorMs;
    this.processorShare = rounded(usedMs / elapsedMs / processorShare);
    if (linkMbps !== undefined) {
      const bytes = now.linkBytes - this.period.linkBytes;
      const bytesPerMs = linkMbps * BYTES_PER_MS_AND_MBPS;
      this.linkShare = rounded(bytes / elapsedMs / bytesPerMs);
      this.linkBacklogMs = this.options.movingBytes() / bytesPerMs;
    }
    this.period = now;
  }

  private measure(): PeriodStart {
    const {clock, processorMs = ownProcessorMs} = this.options;
    // What a caller sends goes on to a runner, and what a runner sends to a
    // caller, so that each direction of the link carries both.
    let linkBytes = this.closedBytes;
    for (const socket of this.sockets) linkBytes += bytesOf(socket);
    return {atMs: clock.nowMs(), processorMs: processorMs(), linkBytes};
  }
}

function bytesOf({bytesRead, bytesWritten, writableLength}: Socket): number {
  return bytesRead + bytesWritten - writableLength;
}

function ownProcessorMs(): number {
  const {user, system} = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_MS;
}

function rounded(share: number): number {
  return Math.round(share * 1_000) / 1_000;
}
