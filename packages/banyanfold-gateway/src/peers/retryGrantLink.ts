import type {Clock, Logger} from '@banyanfold/core';
import type {LeaseSource} from '../types.js';
import type {PeerClients} from './peerClients.js';
import type {HolderHandlers} from './peerContract.js';
import type {RetryGrant, RetryGrantInput} from './retryGrantContract.js';

export interface RetryGrantLinkOptions {
  clock: Clock;
  logger: Logger;
  lease: LeaseSource;
  ownHandlers: Pick<HolderHandlers, 'grantRetries'>;
  clients: PeerClients;
  /** Undefined if this process contacts the holder directly. */
  relayAddress(): string | undefined;
  /** Undefined while no holder other than this process is known. */
  holderAddress(): string | undefined;
}

/**
 * Requests permits to retry from the lease holder, through a relay if there is
 * one. As a relay, it sends nothing on before the time that a refusal named, so
 * that the holder of a large fleet isn't asked by all entries.
 */
export class RetryGrantLink {
  private readonly pausedUntilMs = new Map<string, number>();

  constructor(private readonly options: RetryGrantLinkOptions) {}

  /** Resolves to undefined if there is no holder or it doesn't answer. */
  async request(
    service: string,
    count: number,
  ): Promise<RetryGrant | undefined> {
    const {lease, ownHandlers, relayAddress, holderAddress} = this.options;
    const input = {service, count, isForwarded: false};
    if (lease.current().owns) return ownHandlers.grantRetries(input);
    return this.send(relayAddress() ?? holderAddress(), input);
  }

  /** Answers a peer, as the holder or else as a relay. */
  readonly handle = async (
    input: RetryGrantInput,
  ): Promise<RetryGrant | undefined> => {
    const {lease, ownHandlers, clock, holderAddress} = this.options;
    if (lease.current().owns) return ownHandlers.grantRetries(input);
    if (input.isForwarded) return undefined;
    const {service, count} = input;
    const pausedForMs = (this.pausedUntilMs.get(service) ?? 0) - clock.nowMs();
    if (pausedForMs > 0) return {granted: 0, retryAfterMs: pausedForMs};
    const forwarded = {service, count, isForwarded: true};
    const grant = await this.send(holderAddress(), forwarded);
    if (grant && grant.granted < count) {
      this.pausedUntilMs.set(service, clock.nowMs() + grant.retryAfterMs);
    }
    return grant;
  };

  private async send(
    address: string | undefined,
    input: RetryGrantInput,
  ): Promise<RetryGrant | undefined> {
    if (address === undefined) return undefined;
    try {
      return await this.options.clients
        .clientFor(address)
        .requestRetries(input);
    } catch (thrown) {
      // Not taken for the loss of the holder: earlier releases don't have this
      // call.
      const error = thrown instanceof Error ? thrown.message : String(thrown);
      this.options.logger.info('retry-grant-failed', {peer: address, error});
      return undefined;
    }
  }
}
