import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import {applyWSSHandler} from '@trpc/server/adapters/ws';
import {WebSocketServer} from 'ws';
import type {ListenAddress} from '../types.js';
import {INTERNAL_SERVER_LIMITS} from '../readinessServer.js';
import {createPeerRouter, type PeerHandlers} from './peerContract.js';

/**
 * Limit on a message between entries. The longest lists the copies at all
 * runners: 1 MB for 2,000 of them.
 */
export const MAX_PEER_MESSAGE_BYTES = 16_777_216;
/** Limit on the input of a single HTTP call, a few hundred bytes. */
const MAX_CALL_BYTES = 1_048_576;

/** Serves peers over persistent WebSocket connections and single HTTP calls. */
export class PeerServer {
  private readonly server: http.Server;
  private readonly sockets: WebSocketServer;

  constructor(handlers: PeerHandlers) {
    const router = createPeerRouter(handlers);
    const handleHttp = createHTTPHandler({
      router,
      basePath: '/trpc/',
      maxBodySize: MAX_CALL_BYTES,
    });
    this.server = http.createServer(INTERNAL_SERVER_LIMITS, (req, res) =>
      handleHttp(req, res),
    );
    this.sockets = new WebSocketServer({
      server: this.server,
      perMessageDeflate: false,
      maxPayload: MAX_PEER_MESSAGE_BYTES,
    });
    applyWSSHandler({wss: this.sockets, router});
  }

  listen({host, port}: ListenAddress): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
  }

  /** The port that it listens on; for port 0, the one that was assigned. */
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  close(): void {
    for (const socket of this.sockets.clients) socket.terminate();
    this.sockets.close();
    this.server.close();
  }
}
