/**
 * Time without contact to an ordering holder after which the store is queried
 * for the owner of the lease. It spans four exchanges; by then the store has
 * removed a holder whose process has ended.
 */
const SILENT_HOLDER_MS = 1_000;
/**
 * Between two processes that take a vacant lease: the first one has joined, and
 * the next one has learned of that from the store.
 */
const JOIN_STEP_MS = 300;
/** Random ranks for processes that are not in the list of standbys. */
const OTHER_RANKS = 4;

/** What a process knows of the lease. */
export interface LeaseObservation {
  nowMs: number;
  /** Time since the last contact with a holder that may give orders. */
  silentMs: number;
  /** Whether the lease had no owner in the store's last answer. */
  isVacant: boolean;
  /** Number of processes that may acquire the lease before this one. */
  rank: number;
}

/** No action, querying the store, or joining the group to acquire the lease. */
export type LeaseStep = 'none' | 'ask' | 'join';

/**
 * Decides when a process tries to acquire a vacant lease, one process after
 * another. No process joins the group while the store names a holder, however
 * slowly that holder answers, because the store reassigns the lease with each
 * member that joins. When all of 17 entries under load joined after the holder
 * had missed one renewal, the lease had five more holders within 16 s, and none
 * of them gave orders for long.
 *
 * @example
 * acquisition.nextAction({nowMs, silentMs: 1_200, isVacant: false, rank: 0})
 * // 'ask'
 */
export class LeaseAcquisition {
  private vacantSinceMs: number | undefined;

  nextAction({nowMs, silentMs, isVacant, rank}: LeaseObservation): LeaseStep {
    const isSilent = silentMs > SILENT_HOLDER_MS;
    const isFree = isSilent && isVacant;
    this.vacantSinceMs = isFree ? (this.vacantSinceMs ?? nowMs) : undefined;
    if (!isSilent) return 'none';
    if (this.vacantSinceMs === undefined) return 'ask';
    const waitedMs = nowMs - this.vacantSinceMs;
    return waitedMs >= rank * JOIN_STEP_MS ? 'join' : 'ask';
  }
}

/**
 * Number of processes that may acquire a vacant lease before an entry: its
 * position among the standbys, or a random rank after them.
 *
 * @example acquisitionRank('b:7', ['a:7', 'b:7'], Math.random) // 1
 */
export function acquisitionRank(
  entry: string,
  standbys: readonly string[],
  random: () => number,
): number {
  const place = standbys.indexOf(entry);
  if (place >= 0) return place;
  return standbys.length + Math.floor(random() * OTHER_RANKS);
}
