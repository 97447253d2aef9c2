import type {ServerResponse} from 'node:http';
import type {Clock, Logger, Metrics} from '@banyanfold/core';
import type {GatewayOptions} from '../options.js';
import {decideGivingWay} from './decideGivingWay.js';
import {Holding} from './holding.js';
import type {ResourceSettings} from './resourceSettings.js';

const BYTES_PER_MB = 1_048_576;

/**
 * Pause after a search for stalled transfers that did not find enough. Each
 * search orders all transfers; refusing a request must cost less than that.
 */
const SEARCH_PAUSE_MS = 50;

/** Why transfers give way. */
type Cause = 'bound' | 'new-request';

type HeldBytesSettings = Pick<
  GatewayOptions,
  | 'heldAdmittedShare'
  | 'heldReadAheadShare'
  | 'heldRelievedShare'
  | 'stalledAfterMs'
>;

interface HeldBytesDependencies {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
}

export interface HeldBytesOptions extends HeldBytesDependencies {
  boundBytes: number;
  options: HeldBytesSettings;
}

/** Returns undefined if the memory of the process is not limited. */
export function createHeldBytes(
  {memoryMb}: ResourceSettings,
  dependencies: HeldBytesDependencies & {options: GatewayOptions},
): HeldBytes | undefined {
  if (memoryMb === undefined) return undefined;
  const {heldMemoryShare} = dependencies.options;
  const boundBytes = Math.floor(memoryMb * BYTES_PER_MB * heldMemoryShare);
  return new HeldBytes({...dependencies, boundBytes});
}

/**
 * Bounds the memory that the process holds for callers and runners: request
 * bodies, gathered responses, and bytes that callers have not taken.
 */
export class HeldBytes {
  private readonly holdings = new Map<number, Holding>();
  private sumBytes = 0;
  private lastId = 0;
  private isRelieving = false;
  /** No stalled transfers are looked for before this time. */
  private nextSearchMs = 0;

  constructor(private readonly options: HeldBytesOptions) {
    const {metrics, boundBytes} = options;
    metrics.gauge('held_bytes', () => this.sumBytes);
    metrics.gauge('held_bytes_bound', () => boundBytes);
  }

  get heldBytes(): number {
    return this.sumBytes;
  }

  /** Bytes of responses whose callers take them; looks at each request. */
  get movingBytes(): number {
    const {stalledAfterMs} = this.options.options;
    let bytes = 0;
    for (const holding of this.holdings.values()) {
      bytes += holding.movingBytes(stalledAfterMs);
    }
    return bytes;
  }

  /**
   * Starts to count a request.
   *
   * @param announcedBytes length of its body; 0 if not announced.
   * @returns undefined if the request has to be refused.
   */
  admit(response: ServerResponse, announcedBytes: number): Holding | undefined {
    if (!this.canAddBody(announcedBytes)) return undefined;
    this.lastId += 1;
    const holding = new Holding({
      id: this.lastId,
      clock: this.options.clock,
      response,
      canAddBody: bytes => this.canAddBody(bytes),
      hasRoom: () => this.hasRoom,
      onChange: changeBytes => this.handleChange(changeBytes),
    });
    this.holdings.set(holding.id, holding);
    response.once('close', () => this.remove(holding));
    return holding;
  }

  private get hasRoom(): boolean {
    const {boundBytes, options} = this.options;
    return this.sumBytes <= boundBytes * options.heldReadAheadShare;
  }

  /**
   * Whether a body of that size can be held. Stalled transfers give way to it:
   * otherwise callers that stopped reading would keep the process from serving
   * anyone for as long as they like.
   */
  private canAddBody(bytes: number): boolean {
    const {boundBytes, options} = this.options;
    const targetBytes = boundBytes * options.heldAdmittedShare - bytes;
    if (this.sumBytes <= targetBytes) return true;
    if (this.options.clock.nowMs() < this.nextSearchMs) return false;
    return this.relieve(targetBytes, 'new-request');
  }

  private handleChange(changeBytes: number): void {
    this.sumBytes += changeBytes;
    const {boundBytes, options} = this.options;
    if (this.sumBytes <= boundBytes || this.isRelieving) return;
    this.relieve(boundBytes * options.heldRelievedShare, 'bound');
  }

  /** Returns false if nothing was done because it would not be enough. */
  private relieve(targetBytes: number, cause: Cause): boolean {
    const isOnlyStalled = cause === 'new-request';
    const transfers = [...this.holdings.values()]
      .map(holding => holding.toTransfer())
      .filter(transfer => transfer !== undefined);
    const decision = decideGivingWay(
      {heldBytes: this.sumBytes, targetBytes, transfers, isOnlyStalled},
      this.options.options.stalledAfterMs,
    );
    if (isOnlyStalled && !decision.isSufficient) {
      this.nextSearchMs = this.options.clock.nowMs() + SEARCH_PAUSE_MS;
      return false;
    }
    this.isRelieving = true;
    try {
      for (const {id, waitingMs} of decision.transfers) {
        this.giveWay(this.holdings.get(id)!, waitingMs, cause);
      }
    } finally {
      this.isRelieving = false;
    }
    return decision.isSufficient;
  }

  private giveWay(holding: Holding, waitingMs: number, cause: Cause): void {
    const {logger, metrics, boundBytes} = this.options;
    const {stage} = holding;
    const heldBytes = this.sumBytes;
    this.remove(holding);
    metrics.count('gave_way_total', {stage, cause});
    logger.info('gave-way', {
      stage,
      cause,
      bytes: heldBytes - this.sumBytes,
      waitingMs: Math.round(waitingMs),
      heldBytes,
      boundBytes,
    });
    holding.giveWay();
  }

  private remove(holding: Holding): void {
    this.holdings.delete(holding.id);
    holding.release();
  }
}
