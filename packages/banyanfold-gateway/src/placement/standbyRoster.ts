import {chooseStandbys, type StandbyCandidate} from '@banyanfold/decisions';
import type {EntryMember} from './entryLoads.js';

/** Who stands by is chosen anew at this interval. */
const CHOOSE_INTERVAL_MS = 500;
/**
 * A holder gives the lease away only after the others have heard for some
 * exchanges whether they stand by: else another that doesn't would get it.
 */
const SETTLE_MS = 1_000;

/**
 * With none left beside the holder one is asked to join, though the lease may go
 * to it then: the store gives the lease of a dead holder to whoever is in the
 * group, and while that was nobody, callers got no adapter for 3 s longer.
 */
const MIN_STANDBYS = 1;

/** Who is to be in the lease's group. */
export interface StandbyRoles {
  /** They may stay in it. */
  standbys: string[];
  /** Undefined where enough are in it. */
  joins?: string;
}

/** The entries that stand by for the lease, as their holder chooses them. */
export class StandbyRoster {
  private roles: StandbyRoles = {standbys: []};
  /** Among whom they were chosen. */
  private ranked: ReadonlySet<string> = new Set();
  private chosenMs = Number.NEGATIVE_INFINITY;
  private held: {term: number; sinceMs: number} | undefined;

  constructor(
    private readonly holder: string,
    private readonly entriesHeard: (nowMs: number) => EntryMember[],
  ) {}

  /**
   * The entries that may stay in the group, and one that is to join it.
   *
   * @param asking the entries for which it is asked.
   * @param term of the lease; a holder of a new one keeps it for a while.
   */
  current(
    asking: readonly StandbyCandidate[],
    term: number,
    nowMs: number,
  ): StandbyRoles {
    if (this.held?.term !== term) this.held = {term, sinceMs: nowMs};
    const isDue = nowMs - this.chosenMs >= CHOOSE_INTERVAL_MS;
    // An entry that has just come would be told to leave, and to come back.
    const isNewcomer = asking.some(({address}) => !this.ranked.has(address));
    if (isDue || isNewcomer) this.choose(nowMs);
    const isNew = nowMs - this.held.sinceMs < SETTLE_MS;
    if (!isNew) return this.roles;
    return {standbys: [...this.roles.standbys, this.holder]};
  }

  private choose(nowMs: number): void {
    const heard = this.entriesHeard(nowMs);
    this.chosenMs = nowMs;
    this.ranked = new Set(heard.map(({address}) => address));
    const standbys = [...chooseStandbys(heard, this.holder)];
    const others = heard.filter(({address}) => address !== this.holder);
    const inGroup = others.filter(({isInGroup}) => isInGroup).length;
    const outside = standbys.filter(address =>
      others.some(each => each.address === address && !each.isInGroup),
    );
    const joins = inGroup < MIN_STANDBYS ? outside[0] : undefined;
    this.roles = {standbys, joins};
  }
}
