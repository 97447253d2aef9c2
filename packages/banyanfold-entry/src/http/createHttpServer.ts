import {readFileSync} from 'node:fs';
import http, {type RequestListener, type Server} from 'node:http';
import https from 'node:https';
import type {EntrySettings} from '../settings.js';

/** Creates the server for callers and peers, with TLS if it is configured. */
export function createHttpServer(
  settings: EntrySettings,
  listener: RequestListener,
): Server {
  const {limits, tls} = settings;
  const options = {
    headersTimeout: limits.headerMs,
    requestTimeout: limits.requestMs,
    keepAliveTimeout: limits.idleConnectionMs,
  };
  if (!tls) return http.createServer(options, listener);
  const cert = readFileSync(tls.certPath);
  const key = readFileSync(tls.keyPath);
  return https.createServer({...options, cert, key}, listener);
}

/** Starts listening and returns the port, which the system chooses for 0. */
export function listen(
  server: Server,
  settings: EntrySettings,
): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(settings.port, settings.host, () => {
      server.off('error', reject);
      const address = server.address();
      resolve(typeof address === 'object' && address ? address.port : 0);
    });
  });
}
