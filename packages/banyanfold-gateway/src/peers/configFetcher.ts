import {createHash} from 'node:crypto';
import type {Clock, Logger, Timer} from '@banyanfold/core';
import type {ConfigRecord} from '../types.js';
import type {PeerConfig} from './peerContract.js';

/** The store, which is asked at once, answers within some ms where it is in reach. */
const STORE_FIRST_MS = 300;

export interface ConfigFetcherOptions {
  clock: Clock;
  logger: Logger;
  /** Version in force here; 0 for none. */
  version(): number;
  /** Asks a peer for its configuration; undefined without an answer. */
  fetchFrom(address: string): Promise<PeerConfig | undefined>;
  apply(record: ConfigRecord): void;
}

/**
 * Fetches a newer configuration from a peer. An entry that is cut off from the
 * store, but not from the others, would go on admitting keys that have been taken
 * away, and refuse callers on routes that have been added.
 */
export class ConfigFetcher {
  private timer: Timer | undefined;

  constructor(private readonly options: ConfigFetcherOptions) {}

  /** A peer has told of a version that is newer than the one in force here. */
  noteNewerVersion(version: number, address: string): void {
    this.timer ??= this.options.clock.setTimer(STORE_FIRST_MS, () => {
      void this.fetch(version, address).finally(() => {
        this.timer = undefined;
      });
    });
  }

  stop(): void {
    this.timer?.cancel();
  }

  private async fetch(wanted: number, address: string): Promise<void> {
    const {logger, version, fetchFrom: ask, apply: take} = this.options;
    if (version() >= wanted) return;
    const told = await ask(address);
    // The store may have answered meanwhile.
    if (!told || told.version <= version()) return;
    const bytes = Buffer.from(told.bytes, 'base64');
    if (checksumOf(bytes) !== told.checksum) {
      logger.warn('config-damaged', {version: told.version, peer: address});
      return;
    }
    logger.info('config-from-peer', {version: told.version, peer: address});
    take({version: told.version, bytes});
  }
}

/** @example toldConfigOf({version: 7, bytes}).checksum.length // 64 */
export function encodePeerConfig({version, bytes}: ConfigRecord): PeerConfig {
  const checksum = checksumOf(bytes);
  return {version, checksum, bytes: bytes.toString('base64')};
}

function checksumOf(bytes: Buffer): string {
  return createHash('sha256').update(bytes).digest('hex');
}
