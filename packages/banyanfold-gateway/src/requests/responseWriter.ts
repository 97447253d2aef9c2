import type {ServerResponse} from 'node:http';
import type {GatewayContext} from '../context.js';
import type {ResponseHeaders} from '../types.js';
import type {Holding} from '../resources/holding.js';
import type {ResponseHead} from './attempt.js';

const BODILESS_STATUSES = new Set([204, 304]);
/**
 * Counted for a stream that is paused: the runner's connection reads this much
 * ahead, which is the runtime's default.
 */
const READ_AHEAD_BYTES = 65_536;
const EMPTY = Buffer.alloc(0);

export interface ResponseWriterOptions {
  context: GatewayContext;
  response: ServerResponse;
  /** Undefined if the memory held for callers is not limited. */
  holding?: Holding;
}

/** Writes a runner's response to the caller's connection. */
export class ResponseWriter {
  /** Bytes held for the caller, apart from those written to its connection. */
  unsentBytes = 0;

  constructor(private readonly options: ResponseWriterOptions) {}

  /** Sends the head of a stream at once, before its first event. */
  startStream({status, headers}: ResponseHead): void {
    const {response} = this.options;
    const forwarded = this.forwardedHeaders(headers);
    delete forwarded['content-length'];
    response.writeHead(status, forwarded);
    response.flushHeaders();
  }

  /**
   * Sends events of a stream.
   *
   * A runner cuts off a response that remains unread for some seconds. While
   * there is memory, a stream is therefore read on for a caller that is slow.
   *
   * @returns false if the stream has to be paused; `onDrain` is called when
   * it has.
   */
  writeEvents(bytes: Buffer, onDrain: () => void): boolean {
    const {context, response, holding} = this.options;
    const isTaken = response.write(
      bytes,
      holding && (() => holding.noteTaken()),
    );
    holding?.recount();
    const {maxGatheredBytes} = context.options;
    if (isTaken || holding?.mayReadAhead(maxGatheredBytes)) return true;
    this.unsentBytes = READ_AHEAD_BYTES;
    response.once('drain', () => {
      this.unsentBytes = 0;
      onDrain();
    });
    holding?.recount();
    return false;
  }

  endStream(): void {
    this.options.response.end();
  }

  sendComplete(
    status: number,
    headers: ResponseHeaders,
    chunks: Buffer[],
  ): void {
    const {response, holding} = this.options;
    const forwarded = this.forwardedHeaders(headers);
    let bytes = 0;
    for (const chunk of chunks) bytes += chunk.length;
    if (!BODILESS_STATUSES.has(status)) {
      forwarded['content-length'] = String(bytes);
    }
    response.writeHead(status, forwarded);
    if (!holding || chunks.length <= 1) {
      response.end(Buffer.concat(chunks));
      holding?.recount();
      return;
    }
    this.unsentBytes = bytes;
    this.writeChunks(chunks, 0, holding);
  }

  /**
   * Writes a body chunk by chunk, as fast as the caller takes it. Written as a
   * whole, it would be held as a whole until its last byte is taken, and a
   * caller that reads slowly would look like one that has stopped reading.
   */
  private writeChunks(chunks: Buffer[], from: number, holding: Holding): void {
    const {response} = this.options;
    for (let i = from; i < chunks.length; i++) {
      const chunk = chunks[i]!;
      // Not kept here once the connection has it, so that it can be freed.
      chunks[i] = EMPTY;
      this.unsentBytes -= chunk.length;
      if (response.write(chunk, () => holding.noteTaken())) continue;
      response.once('drain', () => this.writeChunks(chunks, i + 1, holding));
      holding.recount();
      return;
    }
    response.end();
    holding.recount();
  }

  private forwardedHeaders(headers: ResponseHeaders): ResponseHeaders {
    const {context} = this.options;
    const forwarded = context.codec.forwardedResponseHeaders(headers);
    if (context.isDraining()) forwarded['connection'] = 'close';
    return forwarded;
  }
}
