import http from 'node:http';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import {applyWSSHandler} from '@trpc/server/adapters/ws';
import {WebSocketServer} from 'ws';
import type {ListenAddress} from '../types.js';
import {createPeerRouter, type PeerHandlers} from './peerContract.js';

/** Answers the other entries: lasting connections, and single calls over HTTP. */
export class PeerServer {
  private readonly server: http.Server;
  private readonly sockets: WebSocketServer;

  constructor(handlers: PeerHandlers) {
    const router = createPeerRouter(handlers);
    const serve = createHTTPHandler({router, basePath: '/trpc/'});
    this.server = http.createServer((req, res) => serve(req, res));
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
