import {createTRPCClient, httpLink} from '@trpc/client';
import {Pool, type Dispatcher} from 'undici';
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
  // A fetch as far as the link uses it. The runtime's own would load a second
  // HTTP client into the process.
  const send = async (url: unknown, init: unknown) => {
    const {method, headers, body} = init as {
      method: Dispatcher.HttpMethod;
      headers: Record<string, string>;
      body?: string;
    };
    const answer = await dispatcher.request({
      path: String(url).slice(origin.length),
      method,
      headers,
      body: body ?? null,
      signal: AbortSignal.timeout(timeoutMs),
    });
    const status = answer.statusCode;
    const ok = status >= 200 && status < 300;
    return {ok, status, json: () => answer.body.json()};
  };
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
