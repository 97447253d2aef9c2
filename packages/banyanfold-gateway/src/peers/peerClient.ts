import {createTRPCClient, httpLink} from '@trpc/client';
import {fetch, Pool} from 'undici';
import type {
  LastOrder,
  LaterHolder,
  LeaseHandover,
  PeerRouter,
} from './peerContract.js';

const CONNECTIONS = 4;

/** A client of another entry's internal listener. */
export function createPeerClient(address: string, timeoutMs: number) {
  const origin = `http://${address}`;
  const dispatcher = new Pool(origin, {
    connections: CONNECTIONS,
    connect: {timeout: timeoutMs},
  });
  const send = (url: unknown, init: unknown) =>
    fetch(String(url), {
      ...(init as object),
      dispatcher,
      signal: AbortSignal.timeout(timeoutMs),
    } as Parameters<typeof fetch>[1]);
  const client = createTRPCClient<PeerRouter>({
    links: [
      httpLink({
        url: `${origin}/trpc`,
        fetch: send as unknown as typeof globalThis.fetch,
      }),
    ],
  });
  return {client, close: () => void dispatcher.destroy()};
}

export type PeerClient = ReturnType<typeof createPeerClient>;

/** Asks a former holder for its last order; undefined without an answer. */
export async function askLastOrder(
  address: string,
  later: LaterHolder,
  timeoutMs: number,
): Promise<LastOrder | undefined> {
  const peer = createPeerClient(address, timeoutMs);
  try {
    return await peer.client.lastOrder.query(later);
  } catch {
    // No answer is the finding: the former holder is out of reach.
    return undefined;
  } finally {
    peer.close();
  }
}

/** Offers the lease to a peer; false when it doesn't take it. */
export async function offerLease(
  address: string,
  handover: LeaseHandover,
  timeoutMs: number,
): Promise<boolean> {
  const peer = createPeerClient(address, timeoutMs);
  try {
    return await peer.client.takeOver.mutate(handover);
  } catch {
    // Without an answer it may have taken the lease; it must count as taken,
    // or two would order with it.
    return true;
  } finally {
    peer.close();
  }
}
