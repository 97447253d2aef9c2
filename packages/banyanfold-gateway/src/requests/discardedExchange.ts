import {IncomingMessage, ServerResponse, type ServerOptions} from 'node:http';
import {Socket} from 'node:net';

/** Takes what the runtime's parser gives it, and keeps nothing. */
export class DiscardedRequest extends IncomingMessage {
  override push(): boolean {
    return true;
  }

  override destroy(): this {
    return this;
  }
}

/** Is never written to a connection. */
class DiscardedResponse extends ServerResponse {
  override on(): this {
    return this;
  }

  override assignSocket(): void {}
}

/**
 * Returns the server options with which a request that is going to be discarded
 * takes no memory; the listener gets a `DiscardedRequest`. The runtime makes a request and a response of some kilobytes
 * for each head in the 64 KiB that it reads at once, and keeps them until the
 * connection is closed. All that are discarded share one of each.
 *
 * @example
 * http.createServer(discardingClasses(socket => socket.destroyed), listener)
 */
export function discardingClasses(
  discardsNext: (socket: Socket) => boolean,
): Pick<
  ServerOptions<typeof IncomingMessage, typeof ServerResponse>,
  'IncomingMessage' | 'ServerResponse'
> {
  const discardedRequest = new DiscardedRequest(new Socket());
  // The runtime acts on what some headers of a request expect.
  Object.defineProperty(discardedRequest, 'headers', {value: {}});
  const discardedResponse = new DiscardedResponse(discardedRequest);
  class CallerRequest extends IncomingMessage {
    constructor(socket: Socket) {
      if (discardsNext(socket)) return discardedRequest as CallerRequest;
      super(socket);
    }
  }
  class CallerResponse extends ServerResponse {
    constructor(request: IncomingMessage) {
      if (request === discardedRequest) {
        return discardedResponse as CallerResponse;
      }
      // The runtime passes options that its types don't declare.
      // eslint-disable-next-line prefer-rest-params
      super(...(arguments as unknown as [IncomingMessage]));
    }
  }
  return {
    IncomingMessage: CallerRequest,
    ServerResponse: CallerResponse as unknown as typeof ServerResponse,
  };
}
