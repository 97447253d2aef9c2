import type {Clock, Logger} from '@banyanfold/core';
import type {FinishedRun} from './claimRecords.js';
import type {ClaimWindow} from './claimWindow.js';
import type {LogService} from './types.js';

export interface KeyClaimsOptions extends Partial<ClaimWindow> {
  log: LogService;
  clock: Clock;
  logger: Logger;
  random: () => number;
  /**
   * Identifies this process rather than its VM; unique for each process start.
   */
  owner: string;
  /** The minimum time for which the log keeps a record. */
  retentionMs: number;
  /**
   * Larger bodies are not stored, and a second caller receives only the status.
   */
  bodyLimitBytes?: number;
  lingerMs?: number;
  createNonce?(): string;
}

export const DEFAULT_BODY_LIMIT_BYTES = 16 * 1024;

/** The outcome of a claim. Only an `owner` may dispatch the request. */
export type ClaimOutcome =
  | {kind: 'owner'; claimOffset: number}
  | {kind: 'taken'; finished?: FinishedRun | undefined; ownedBySelf: boolean};

export type ClaimErrorCode =
  | 'key-not-uuidv7'
  | 'key-too-old'
  | 'key-from-future'
  | 'log-unavailable'
  | 'claim-unknown';
