import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {initTRPC} from '@trpc/server';
import {afterEach, describe, expect, it} from 'vitest';
import {
  fetchMisses,
  createControlHandler,
  createEntryClient,
  type EntryRouter,
} from '../index.js';

const MISSED = {'claims@1': 3};

const t = initTRPC.create();
const status = t.procedure.query(() => ({missedCount: MISSED}));
const failing = t.procedure.query(() => {
  throw new Error('out of order');
});

let server: http.Server;
afterEach(() => {
  server.closeAllConnections();
  server.close();
});

/** Serves a router that lacks procedures of the current entry router. */
async function serve(partial: unknown) {
  const router = partial as EntryRouter;
  server = http.createServer(createControlHandler({router, keys: ['key']}));
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  return createEntryClient({host: '127.0.0.1', port, internalKey: 'key'});
}

describe('fetchMisses', () => {
  // During a rolling upgrade a peer of the earlier release answers the
  // planner's new procedure with an error. Its misses must be counted
  // nevertheless.
  it('fetches the status from an entry of an earlier release', async () => {
    const client = await serve(t.router({status}));
    expect(await fetchMisses(client)).toEqual(MISSED);
  });

  it('makes no second request after an internal error of an entry', async () => {
    const client = await serve(t.router({status, misses: failing}));
    await expect(fetchMisses(client)).rejects.toThrow('out of order');
  });
});
