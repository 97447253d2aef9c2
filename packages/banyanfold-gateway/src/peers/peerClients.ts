import {createPeerClient, type PeerClient} from './peerClient.js';

/** The holder, and a relay. */
const KEPT_CLIENTS = 2;

/** Clients of the few peers that this process speaks with, by address. */
export class PeerClients {
  private readonly clients = new Map<string, PeerClient>();

  constructor(
    private readonly timeoutMs: number,
    private readonly adapterTimeoutMs: number,
  ) {}

  /** The one that was not used for longest makes way. */
  clientFor(address: string): PeerClient {
    const client =
      this.clients.get(address) ??
      createPeerClient(address, this.timeoutMs, this.adapterTimeoutMs);
    this.clients.delete(address);
    this.clients.set(address, client);
    const [oldest] = this.clients.keys();
    if (this.clients.size > KEPT_CLIENTS) this.drop(oldest!);
    return client;
  }

  /** Its connection may have fallen silent for good; the next use makes another. */
  drop(address: string): void {
    this.clients.get(address)?.close();
    this.clients.delete(address);
  }

  close(): void {
    for (const address of [...this.clients.keys()]) this.drop(address);
  }
}
