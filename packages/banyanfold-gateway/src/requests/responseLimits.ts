import type {Clock} from '@banyanfold/core';
import type {CompleteEvents} from './eventSplitter.js';

/** A limit on the response of a runner, by the part and by what it bounds. */
export type ResponseLimit =
  | 'head-bytes'
  | 'head-time'
  | 'interim-heads'
  | 'framing-bytes'
  | 'framing-time'
  | 'body-bytes'
  | 'body-time'
  | 'event-bytes'
  | 'event-time'
  | 'comment-bytes'
  | 'comment-count';

/**
 * The lines of a head that is accepted are limited to 16,384 bytes by the
 * parser, which counts neither the status line nor empty lines before it.
 */
export const MAX_HEAD_BYTES = 32_768;
/** A runner sends a final head; interim ones are allowed for by the protocol. */
export const MAX_INTERIM_HEADS = 8;
/** The line of a chunk, or trailers: a few bytes at runners that send them. */
export const MAX_FRAMING_BYTES = 16_384;
/**
 * Framing of a whole body beyond the body's own bytes. Each chunk costs a call,
 * so that a body of tiny chunks would take up the processor.
 */
export const MAX_FRAMING_EXCESS_BYTES = 65_536;
/** An event has a few tokens; this is a whole prompt of the largest models. */
export const MAX_EVENT_BYTES = 1_048_576;
/** Comments keep a stream open until its next event; one takes a few bytes. */
export const MAX_COMMENT_BYTES = 65_536;
/** Five a second for as long as the longest request of a caller takes. */
export const MAX_COMMENTS = 100;
/**
 * Time that a part may take that is sent at once: lost packets are sent again
 * within this time.
 */
const PART_MS = 1_000;
/** Far below the slowest link, 7 Mbit/s, with a hundred requests on it. */
const MIN_BYTES_PER_MS = 4;
/**
 * Silence beyond this doesn't count as time that a part takes: a runner that
 * sends nothing isn't one that sends without end.
 */
const MAX_COUNTED_GAP_MS = 500;

/** Bytes of one part of a response, and the time over which they arrived. */
class PartMeter {
  bytes = 0;
  activeMs = 0;
  private lastAtMs: number | undefined;

  add(bytes: number, nowMs: number): void {
    const gapMs = nowMs - (this.lastAtMs ?? nowMs);
    this.activeMs += Math.min(gapMs, MAX_COUNTED_GAP_MS);
    this.lastAtMs = nowMs;
    this.bytes += bytes;
  }

  reset(): void {
    this.bytes = 0;
    this.activeMs = 0;
    this.lastAtMs = undefined;
  }

  /** Whether it arrives more slowly than bytes that are sent at once. */
  get isTooSlow(): boolean {
    return this.activeMs > PART_MS + this.bytes / MIN_BYTES_PER_MS;
  }
}

/**
 * Checks the parts of one response against their limits, while they arrive.
 * Each method returns the limit that is exceeded, if any. Nothing is checked
 * while nothing arrives.
 *
 * @example
 * const limits = new ResponseLimits(clock, options);
 * limits.noteHead();
 * limits.noteBody(20); // undefined
 */
export class ResponseLimits {
  private readonly unparsed = new PartMeter();
  private readonly body = new PartMeter();
  private readonly event = new PartMeter();
  private hasHead = false;
  /** Whether the parser has found a part since the last bytes arrived. */
  private hasProgress = false;
  /** Bytes after the head, with and without the framing of the body. */
  private bytesAfterHead = 0;
  private bodyBytes = 0;
  /** Whether the bytes that are being read begin with a part of the head. */
  private isReadingHead = true;
  private interimHeads = 0;
  private commentBytes = 0;
  private comments = 0;

  constructor(
    private readonly clock: Clock,
    private readonly options: {maxGatheredBytes: number},
  ) {}

  /** To be called for each interim head. */
  noteInterimHead(): ResponseLimit | undefined {
    this.hasProgress = true;
    this.interimHeads += 1;
    return this.interimHeads > MAX_INTERIM_HEADS ? 'interim-heads' : undefined;
  }

  /** To be called for the final head. */
  noteHead(): void {
    this.hasProgress = true;
    this.hasHead = true;
  }

  /** To be called when bytes have arrived and the parser has read them. */
  noteRead(bytes: number): ResponseLimit | undefined {
    if (!this.isReadingHead) this.bytesAfterHead += bytes;
    this.isReadingHead = !this.hasHead;
    if (this.hasProgress) {
      this.hasProgress = false;
      this.unparsed.reset();
      const framingBytes = this.bytesAfterHead - this.bodyBytes;
      const excess = framingBytes - this.bodyBytes;
      return excess > MAX_FRAMING_EXCESS_BYTES ? 'framing-bytes' : undefined;
    }
    this.unparsed.add(bytes, this.clock.nowMs());
    const maxBytes = this.hasHead ? MAX_FRAMING_BYTES : MAX_HEAD_BYTES;
    const part = this.hasHead ? 'framing' : 'head';
    if (this.unparsed.bytes > maxBytes) return `${part}-bytes`;
    return this.unparsed.activeMs > PART_MS ? `${part}-time` : undefined;
  }

  /** To be called for the next bytes of a body that is buffered. */
  noteBody(bytes: number): ResponseLimit | undefined {
    this.hasProgress = true;
    this.bodyBytes += bytes;
    this.body.add(bytes, this.clock.nowMs());
    if (this.body.bytes > this.options.maxGatheredBytes) return 'body-bytes';
    return this.body.isTooSlow ? 'body-time' : undefined;
  }

  /**
   * To be called for the next bytes of a stream.
   *
   * @param pendingBytes those of an event that is not complete.
   * @param complete what the bytes have completed.
   */
  noteStream(
    bytes: number,
    pendingBytes: number,
    complete?: CompleteEvents,
  ): ResponseLimit | undefined {
    this.hasProgress = true;
    this.bodyBytes += bytes;
    if (complete) {
      this.event.reset();
      const limit = this.noteComplete(complete);
      if (limit) return limit;
    }
    if (pendingBytes === 0) return undefined;
    this.event.add(complete ? pendingBytes : bytes, this.clock.nowMs());
    if (pendingBytes > MAX_EVENT_BYTES) return 'event-bytes';
    return this.event.isTooSlow ? 'event-time' : undefined;
  }

  private noteComplete({
    bytes,
    count,
    blockCount,
  }: CompleteEvents): ResponseLimit | undefined {
    if (count > 0) {
      this.commentBytes = 0;
      this.comments = 0;
      return undefined;
    }
    this.commentBytes += bytes.length;
    this.comments += blockCount;
    if (this.commentBytes > MAX_COMMENT_BYTES) return 'comment-bytes';
    return this.comments > MAX_COMMENTS ? 'comment-count' : undefined;
  }
}
