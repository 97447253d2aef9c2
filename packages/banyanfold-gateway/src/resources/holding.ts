import type {ServerResponse} from 'node:http';
import type {Clock} from '@banyanfold/core';
import type {HeldTransfer} from './decideGivingWay.js';

/** Why a transfer gave way, by what it held the memory for. */
export type HoldingStage = 'body' | 'runner' | 'response';

export interface HoldingOptions {
  id: number;
  clock: Clock;
  response: ServerResponse;
  /** Whether that many more bytes of a request body may be held. */
  canAddBody(bytes: number): boolean;
  /** Whether memory is left for responses that are read ahead. */
  hasRoom(): boolean;
  /** Called when the number of bytes changes. */
  onChange(changeBytes: number): void;
}

/** The memory held for one request of a caller, from its body to the end. */
export class Holding {
  /** Ends the request truthfully and frees its memory. */
  giveWay: () => void = () => this.options.response.destroy();
  /** Bytes of the response that are not written to the caller's connection. */
  gatheredBytes: () => number = () => 0;
  private bodyBytes = 0;
  private countedBytes = 0;
  private lastProgressMs: number;
  private isReadingBody = true;
  private isReleased = false;

  constructor(private readonly options: HoldingOptions) {
    this.lastProgressMs = options.clock.nowMs();
  }

  get id(): number {
    return this.options.id;
  }

  get stage(): HoldingStage {
    if (this.isReadingBody) return 'body';
    return this.responseBytes > 0 ? 'response' : 'runner';
  }

  /**
   * Adds a part of the request body.
   *
   * @returns false if the memory for it isn't available.
   */
  addBody(bytes: number): boolean {
    // Before the check: it may make stalled transfers give way.
    this.noteProgress();
    if (this.isReleased || !this.options.canAddBody(bytes)) return false;
    this.bodyBytes += bytes;
    this.recount();
    return true;
  }

  endBody(): void {
    this.isReadingBody = false;
  }

  /** Records that bytes have arrived; progress unless the caller is behind. */
  noteReceived(): void {
    if (this.options.response.writableLength === 0) this.noteProgress();
    this.recount();
  }

  /** Records that the caller has taken bytes. */
  noteTaken(): void {
    this.noteProgress();
    this.recount();
  }

  /** Counts what is held now. */
  recount(): void {
    if (this.isReleased) return;
    const bytes = this.bodyBytes + this.responseBytes;
    const changeBytes = bytes - this.countedBytes;
    if (changeBytes === 0) return;
    this.countedBytes = bytes;
    this.options.onChange(changeBytes);
  }

  /** What would be freed; undefined while it only waits for a runner. */
  toTransfer(): HeldTransfer | undefined {
    if (this.stage === 'runner') return undefined;
    const {id, clock} = this.options;
    const waitingMs = clock.nowMs() - this.lastProgressMs;
    return {id, bytes: this.countedBytes, waitingMs};
  }

  /**
   * Whether more of the response may be read although its caller is behind.
   *
   * @param maxBytes largest response that is held.
   */
  mayReadAhead(maxBytes: number): boolean {
    const {hasRoom} = this.options;
    return !this.isReleased && this.responseBytes < maxBytes && hasRoom();
  }

  /** Bytes of the response, unless its transfer is stalled; else 0. */
  movingBytes(stalledAfterMs: number): number {
    const waitingMs = this.options.clock.nowMs() - this.lastProgressMs;
    return waitingMs < stalledAfterMs ? this.responseBytes : 0;
  }

  /** Stops counting the request, whose memory is free. */
  release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.options.onChange(-this.countedBytes);
    this.countedBytes = 0;
  }

  private get responseBytes(): number {
    return this.options.response.writableLength + this.gatheredBytes();
  }

  private noteProgress(): void {
    this.lastProgressMs = this.options.clock.nowMs();
  }
}
