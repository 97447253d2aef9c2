import type {ServerResponse} from 'node:http';
import type {GatewayContext} from '../context.js';
import type {ResponseHeaders} from '../types.js';
import type {ResponseHead} from './attempt.js';

const BODILESS_STATUSES = new Set([204, 304]);

export interface ResponseWriterOptions {
  context: GatewayContext;
  response: ServerResponse;
}

/** Writes a runner's response to the caller's connection. */
export class ResponseWriter {
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
   * @returns false if the caller has not taken them; `onDrain` is called when
   * it has.
   */
  writeEvents(bytes: Buffer, onDrain: () => void): boolean {
    const {response} = this.options;
    if (response.write(bytes)) return true;
    response.once('drain', onDrain);
    return false;
  }

  endStream(): void {
    this.options.response.end();
  }

  sendComplete(status: number, headers: ResponseHeaders, body: Buffer): void {
    const {response} = this.options;
    const forwarded = this.forwardedHeaders(headers);
    if (!BODILESS_STATUSES.has(status)) {
      forwarded['content-length'] = String(body.length);
    }
    response.writeHead(status, forwarded);
    response.end(body);
  }

  private forwardedHeaders(headers: ResponseHeaders): ResponseHeaders {
    const {context} = this.options;
    const forwarded = context.codec.forwardedResponseHeaders(headers);
    if (context.isDraining()) forwarded['connection'] = 'close';
    return forwarded;
  }
}
