import {chooseReplicas, type ReplicaCandidate} from '@banyanfold/decisions';
import type {ReplicaUpdate} from '../peers/peerContract.js';
import type {ReplicaList} from '../streams/replicaList.js';

export interface ReplicaRosterOptions {
  /** Identifies this start of the process among the holders. */
  epoch: string;
  /** Shortest time between two choices, in ms. */
  intervalMs: number;
  /** The list as this process knows it, also from former holders. */
  list: ReplicaList;
  members(nowMs: number): ReplicaCandidate[];
}

/**
 * Time until all entries have reported to a new holder. Until then the list of
 * the former one stays: a list of the few that have reported would leave out the
 * replicas that have the records.
 */
const SETTLE_MS = 1_500;

/** Chooses the replicas of origin records while this process is the holder. */
export class ReplicaRoster {
  private term: number | undefined;
  private termStartMs = 0;
  private chosenMs = Number.NEGATIVE_INFINITY;
  private revision = 0;

  constructor(private readonly options: ReplicaRosterOptions) {}

  /**
   * Returns the list for an entry, without the replicas if the entry has them.
   */
  updateFor(
    knownVersion: string | undefined,
    term: number,
    nowMs: number,
  ): ReplicaUpdate | undefined {
    const {epoch, intervalMs, list} = this.options;
    if (term !== this.term) this.termStartMs = nowMs;
    this.term = term;
    const isFromOther = list.version?.startsWith(`${epoch}/`) === false;
    const isSettled = !isFromOther || nowMs - this.termStartMs >= SETTLE_MS;
    if (isSettled && nowMs - this.chosenMs >= intervalMs) this.choose(nowMs);
    return list.updateFor(knownVersion);
  }

  private choose(nowMs: number): void {
    this.chosenMs = nowMs;
    const {list, epoch, members} = this.options;
    const current = list.replicas ?? [];
    const addresses = current.map(({address}) => address);
    const replicas = chooseReplicas(members(nowMs), new Set(addresses));
    const isSame =
      replicas.length === current.length &&
      replicas.every(({address}, i) => address === addresses[i]);
    if (isSame) return;
    this.revision += 1;
    list.apply({version: `${epoch}/${this.revision}`, replicas});
  }
}
