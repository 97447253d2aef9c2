import http from 'node:http';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import {applyWSSHandler} from '@trpc/server/adapters/ws';
import {WebSocketServer} from 'ws';
import type {ListenAddress} from '../types.js';
import {createPeerRouter, type PeerHandlers} from './peerContract.js';

/** Serves peers over persistent WebSocket connections and single HTTP calls. */
export class PeerServer {
  private readonly server: http.Server;
  private readonly sockets: WebSocketServer;

  constructor(handlers: PeerHandlers) {
    const router = createPeerRouter(handlers);
    const handleHttp = createHTTPHandler({router, basePath: '/trpc/'});
    this.server = http.createServer((req, res) => handleHttp(req, res));
    this.sockets = new WebSocketServer({
      server: this.server,
      perMessageDeflate: false,
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

  close(): void {
    for (const socket of this.sockets.clients) socket.terminate();
    this.sockets.close();
    this.server.close();
  }
}
