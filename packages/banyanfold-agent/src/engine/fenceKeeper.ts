import {sleep, type Clock, type Logger} from '@banyanfold/core';
import {acquireFencingToken, Backoff, type LogService} from '@banyanfold/log';
import {v4 as uuidV4} from 'uuid';

const RETRY_CAP_MS = 5_000;
/** Provisional incarnations are drawn from this many. */
const PROVISIONAL_RANGE = 2 ** 48;

/** How a fence keeper is built. */
export interface FenceKeeperOptions {
  log: LogService;
  vmId: string;
  clock: Clock;
  logger: Logger;
  random: () => number;
}

/**
 * Holds this process's fencing number and with it its incarnation.
 *
 * While the log is out at the start there is no number. The process then
 * serves under a provisional incarnation: negative, as no offset is, and drawn
 * at random, so that an attempt meant for an earlier process can't match it.
 */
export class FenceKeeper {
  private readonly provisional: number;
  private fencing: number | undefined;
  private first: number | undefined;
  private stopped = false;
  private superseded = false;

  constructor(private readonly options: FenceKeeperOptions) {
    const drawn = Math.floor(options.random() * PROVISIONAL_RANGE);
    this.provisional = -1 - drawn;
  }

  /** Names this process: its first fencing number, or the provisional one. */
  get incarnation(): number {
    return this.first ?? this.provisional;
  }

  /** Whether an attempt that names this incarnation means this process. */
  isOwn(incarnation: number): boolean {
    return incarnation === this.provisional || incarnation === this.first;
  }

  /** The number for orders, or undefined while none may be given. */
  current(): number | undefined {
    return this.superseded ? undefined : this.fencing;
  }

  /** Another agent beside the engine has a higher number. */
  markSuperseded(): void {
    this.superseded = true;
  }

  stop(): void {
    this.stopped = true;
  }

  /** Tries once; a lost answer leaves at worst a number that nobody uses. */
  async tryAcquire(): Promise<boolean> {
    const {log, vmId, logger} = this.options;
    const acquired = await acquireFencingToken({log, vmId, nonce: uuidV4()});
    if (acquired.isErr()) {
      const {code, step, peer} = acquired.error;
      logger.warn('fence-failed', {code, step, peer});
      return false;
    }
    this.fencing = acquired.value;
    this.first ??= acquired.value;
    logger.info('fence', {fencing: this.fencing, incarnation: this.first});
    return true;
  }

  /** Tries until there is a number, with full jitter between the tries. */
  async acquire(): Promise<void> {
    const {clock, random} = this.options;
    const backoff = new Backoff({capMs: RETRY_CAP_MS, random});
    while (!this.stopped) {
      if (await this.tryAcquire()) return;
      await sleep(clock, backoff.nextDelayMs());
    }
  }
}
