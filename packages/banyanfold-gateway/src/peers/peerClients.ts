import {createPeerClient, type PeerClient} from './peerClient.js';

/** One for the holder and one for a relay. */
const DEFAULT_MAX_CLIENTS = 2;

/** Caches the clients of the peers used last, by address. */
export class PeerClients {
  private readonly clients = new Map<string, PeerClient>();

  constructor(
    private readonly timeoutMs: number,
    private readonly adapterTimeoutMs: number,
    private readonly maxClients = DEFAULT_MAX_CLIENTS,
  ) {}

  /** Returns the client for an address; evicts the least recently used one. */
  clientFor(address: string): PeerClient {
    const client =
      this.clients.get(address) ??
      createPeerClient(address, this.timeoutMs, this.adapterTimeoutMs);
    this.clients.delete(address);
    this.clients.set(address, client);
    const [oldest] = this.clients.keys();
    if (this.clients.size > this.maxClients) this.drop(oldest!);
    return client;
  }

  /**
   * Closes a client whose connection may never answer again. The next use of
   * the address opens a new connection.
   */
  drop(address: string): void {
    this.clients.get(address)?.close();
    this.clients.delete(address);
  }

  close(): void {
    for (const address of [...this.clients.keys()]) this.drop(address);
  }
}
