import type {Clock, Logger} from '@banyanfold/core';
import type {FinishedRun} from './claimRecords.js';
import type {ClaimWindow} from './claimWindow.js';
import type {LogService} from './types.js';

export interface KeyClaimsOptions extends Partial<ClaimWindow> {
  log: LogService;
  clock: Clock;
  logger: Logger;
  random: () => number;
  /** Names this process, not its VM: a new one for each start. */
  owner: string;
  /** How long the log keeps a record, at least. */
  retentionMs: number;
  /** Larger bodies aren't kept; a second caller gets the status alone. */
  bodyLimitBytes?: number;
  lingerMs?: number;
  createNonce?(): string;
}

export const DEFAULT_BODY_LIMIT_BYTES = 16 * 1024;

/** What came of a claim. Only `owner` may dispatch. */
export type ClaimOutcome =
  | {kind: 'owner'; claimOffset: number}
  | {kind: 'taken'; finished?: FinishedRun | undefined; ownedBySelf: boolean};

export type ClaimErrorCode =
  | 'key-not-uuidv7'
  | 'key-too-old'
  | 'key-from-future'
  | 'log-unavailable'
  | 'claim-unknown';
