import {sleep, type Clock, type Logger} from '@banyanfold/core';
import {acquireFencingToken, Backoff, type LogService} from '@banyanfold/log';
import {v4 as uuidV4} from 'uuid';

const MAX_RETRY_DELAY_MS = 5_000;
/** Number of possible provisional incarnations. */
const PROVISIONAL_RANGE = 2 ** 48;

/** Options of a `FencingTokenManager`. */
export interface FencingTokenManagerOptions {
  log: LogService;
  vmId: string;
  clock: Clock;
  logger: Logger;
  random: () => number;
}

/**
 * Holds this process's fencing token and the incarnation derived from it.
 *
 * If the log is unavailable at the start, there is no token. The process then
 * serves under a provisional incarnation. It is negative, unlike a log offset,
 * and random, so that an attempt sent to an earlier process can't match it.
 */
export class FencingTokenManager {
  private readonly provisional: number;
  private token: number | undefined;
  private firstToken: number | undefined;
  private stopped = false;
  private superseded = false;

  constructor(private readonly options: FencingTokenManagerOptions) {
    const randomValue = Math.floor(options.random() * PROVISIONAL_RANGE);
    this.provisional = -1 - randomValue;
  }

  /** Identifies this process: its first token, or a provisional value. */
  get incarnation(): number {
    return this.firstToken ?? this.provisional;
  }

  /** Whether an attempt with this incarnation was sent to this process. */
  isOwnIncarnation(incarnation: number): boolean {
    return incarnation === this.provisional || incarnation === this.firstToken;
  }

  /** The fencing token for orders; undefined while no orders may be sent. */
  current(): number | undefined {
    return this.superseded ? undefined : this.token;
  }

  /** Records that another agent of the same engine has a higher token. */
  markSuperseded(): void {
    this.superseded = true;
  }

  stop(): void {
    this.stopped = true;
  }

  /** Tries once; a lost response at worst leaves an unused token. */
  async tryAcquire(): Promise<boolean> {
    const {log, vmId, logger} = this.options;
    const acquired = await acquireFencingToken({log, vmId, nonce: uuidV4()});
    if (acquired.isErr()) {
      const {code, step, peer} = acquired.error;
      logger.warn('fence-failed', {code, step, peer});
      return false;
    }
    this.token = acquired.value;
    this.firstToken ??= acquired.value;
    logger.info('fence', {fencing: this.token, incarnation: this.firstToken});
    return true;
  }

  /** Retries with full jitter until a token has been acquired. */
  async acquire(): Promise<void> {
    const {clock, random} = this.options;
    const backoff = new Backoff({capMs: MAX_RETRY_DELAY_MS, random});
    while (!this.stopped) {
      if (await this.tryAcquire()) return;
      await sleep(clock, backoff.nextDelayMs());
    }
  }
}
