import {createHash} from 'node:crypto';
import {
  type Clock,
  type Logger,
  runInBackground,
  type Timer,
} from '@banyanfold/core';
import type {ConfigRecord} from '../types.js';
import type {PeerConfig} from './peerContract.js';

/**
 * Delay before the fetch. The store is read as soon as a newer version is
 * known, and a store within reach answers within a few milliseconds.
 */
const STORE_GRACE_MS = 300;

export interface ConfigFetcherOptions {
  clock: Clock;
  logger: Logger;
  /** Version in force in this process; 0 if there is none. */
  version(): number;
  /** Requests a peer's configuration; undefined if the peer doesn't answer. */
  fetchFrom(address: string): Promise<PeerConfig | undefined>;
  apply(record: ConfigRecord): void;
}

/**
 * Fetches a newer configuration from a peer. Without it, an entry that can
 * reach its peers but not the store would keep admitting revoked keys, and
 * would refuse callers on routes that have been added.
 */
export class ConfigFetcher {
  private timer: Timer | undefined;

  constructor(private readonly options: ConfigFetcherOptions) {}

  /**
   * Schedules a fetch from a peer that has a newer version than this process.
   */
  noteNewerVersion(version: number, address: string): void {
    this.timer ??= this.options.clock.setTimer(STORE_GRACE_MS, () => {
      const {logger} = this.options;
      runInBackground({logger, step: 'fetch-config', peer: address}, () =>
        this.fetch(version, address).finally(() => {
          this.timer = undefined;
        }),
      );
    });
  }

  stop(): void {
    this.timer?.cancel();
  }

  private async fetch(minVersion: number, address: string): Promise<void> {
    const {logger, version, fetchFrom, apply} = this.options;
    if (version() >= minVersion) return;
    const fetched = await fetchFrom(address);
    // The store may have answered in the meantime.
    if (!fetched || fetched.version <= version()) return;
    const bytes = Buffer.from(fetched.bytes, 'base64');
    if (checksumOf(bytes) !== fetched.checksum) {
      logger.warn('config-damaged', {version: fetched.version, peer: address});
      return;
    }
    logger.info('config-from-peer', {version: fetched.version, peer: address});
    apply({version: fetched.version, bytes});
  }
}

/**
 * Encodes a configuration for a peer, with its checksum.
 *
 * @example encodePeerConfig({version: 7, bytes}).checksum.length // 64
 */
export function encodePeerConfig({version, bytes}: ConfigRecord): PeerConfig {
  const checksum = checksumOf(bytes);
  return {version, checksum, bytes: bytes.toString('base64')};
}

function checksumOf(bytes: Buffer): string {
  return createHash('sha256').update(bytes).digest('hex');
}
