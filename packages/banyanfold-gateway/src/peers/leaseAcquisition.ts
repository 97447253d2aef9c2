/**
 * After four exchanges without a word of a holder that orders, the store is asked
 * who has the lease; by then it has dropped a holder that is dead.
 */
const SILENT_HOLDER_MS = 1_000;
/**
 * Between two processes that take a vacant lease: the first one has joined, and
 * the next one has heard so from the store.
 */
const JOIN_STEP_MS = 300;
/** Places in the order of those that are no standbys, or know of none. */
const OTHER_PLACES = 4;

/** What a process knows of the lease. */
export interface LeaseObservation {
  nowMs: number;
  /** Since a holder that orders was heard. */
  holderSilenceMs: number;
  /** The store last said that nobody has the lease. */
  isVacant: boolean;
  /** How many take it before this process. */
  rank: number;
}

/** Nothing, asking the store who has it, or joining the group to take it. */
export type LeaseAction = 'none' | 'ask' | 'join';

/**
 * When a process takes a lease that nobody has: one after the other. While the
 * store names a holder all stay out, however slowly that one answers: each that
 * joins has the store deal the lease anew. On a busy fleet of 17 entries a holder
 * that had missed one renewal was followed by five others within 16 s, none of
 * which ordered for long, as all the rest joined.
 *
 * @example turn.next({nowMs, silentMs: 1_200, isVacant: false, place: 0}) // 'ask'
 */
export class LeaseAcquisition {
  private vacantSinceMs: number | undefined;

  nextAction({
    nowMs,
    holderSilenceMs: silentMs,
    isVacant,
    rank: place,
  }: LeaseObservation): LeaseAction {
    const isSilent = silentMs > SILENT_HOLDER_MS;
    const isFree = isSilent && isVacant;
    this.vacantSinceMs = isFree ? (this.vacantSinceMs ?? nowMs) : undefined;
    if (!isSilent) return 'none';
    if (this.vacantSinceMs === undefined) return 'ask';
    const waitedMs = nowMs - this.vacantSinceMs;
    return waitedMs >= place * JOIN_STEP_MS ? 'join' : 'ask';
  }
}

/**
 * How many take a vacant lease before an entry, by the order of the standbys.
 *
 * @example placeInLine('b:7', ['a:7', 'b:7'], Math.random) // 1
 */
export function acquisitionRank(
  entry: string,
  standbys: readonly string[],
  random: () => number,
): number {
  const place = standbys.indexOf(entry);
  if (place >= 0) return place;
  return standbys.length + Math.floor(random() * OTHER_PLACES);
}
