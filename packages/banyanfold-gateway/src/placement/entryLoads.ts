import type {RelayCandidate} from '@banyanfold/decisions';

/** An entry that was not heard of for this long no longer counts, in ms. */
const ENTRY_EXPIRY_MS = 2_000;
/** Work is told to a tenth: fewer digits, and nobody decides by less. */
const ROUNDING_STEPS = 10;

/** What an entry, and those it relays for, have open at the runners. */
export interface EntryLoad {
  /** The entry itself, and those that it relays for. */
  members: readonly RelayCandidate[];
  openWork: Readonly<Record<string, number>>;
  adaptersInUse: Readonly<Record<string, readonly string[]>>;
  /** Requests under way, by runner and model. */
  modelsInUse: Readonly<Record<string, Readonly<Record<string, number>>>>;
  /** Requests that wait for a copy, by model. */
  waiting: Readonly<Record<string, number>>;
}

interface ReceivedLoad extends EntryLoad {
  receivedMs: number;
}

/** What each entry that was heard of lately has open, and their sums. */
export class EntryLoads {
  private readonly entries = new Map<string, ReceivedLoad>();

  constructor(private readonly expiryMs = ENTRY_EXPIRY_MS) {}

  /**
   * An entry that speaks through a relay no longer counts by itself, or its work
   * would count twice until what it told before is too old.
   */
  record(entry: string, load: EntryLoad, nowMs: number): void {
    for (const {address} of load.members) {
      if (address !== entry) this.entries.delete(address);
    }
    this.entries.set(entry, {...load, receivedMs: nowMs});
  }

  /** Requests of all entries that wait for a copy of a model. */
  waitingRequests(model: string, nowMs: number): number {
    let total = 0;
    for (const {waiting} of this.recent(nowMs)) total += waiting[model] ?? 0;
    return total;
  }

  /** Entries heard of lately; one at least. */
  count(nowMs: number): number {
    let count = 0;
    for (const {members} of this.recent(nowMs)) count += members.length;
    return Math.max(1, count);
  }

  /** Entries heard of lately, the last heard first. */
  members(nowMs: number): RelayCandidate[] {
    return [...this.recent(nowMs)]
      .sort((a, b) => b.receivedMs - a.receivedMs)
      .flatMap(({members}) => members);
  }

  /** Open work of all but one entry, by runner. */
  openWorkExcept(entry: string, nowMs: number): Record<string, number> {
    const total: Record<string, number> = {};
    for (const {openWork} of this.recent(nowMs, entry)) {
      addCounts(total, openWork);
    }
    for (const [runnerId, work] of Object.entries(total)) {
      total[runnerId] = Math.round(work * ROUNDING_STEPS) / ROUNDING_STEPS;
    }
    return total;
  }

  /** Requests that all but one entry have open, by runner. */
  openRequestsExcept(entry: string, nowMs: number): Record<string, number> {
    const total: Record<string, number> = {};
    for (const {modelsInUse} of this.recent(nowMs, entry)) {
      for (const [runnerId, counts] of Object.entries(modelsInUse)) {
        for (const count of Object.values(counts)) {
          total[runnerId] = (total[runnerId] ?? 0) + count;
        }
      }
    }
    return total;
  }

  /** Whether an entry has a request under way there that uses the adapter. */
  isAdapterInUse(runnerId: string, adapter: string, nowMs: number): boolean {
    for (const {adaptersInUse} of this.recent(nowMs)) {
      if (adaptersInUse[runnerId]?.includes(adapter)) return true;
    }
    return false;
  }

  /** Requests of all entries under way at a runner, by model. */
  modelsInUse(runnerId: string, nowMs: number): Record<string, number> {
    const total: Record<string, number> = {};
    for (const {modelsInUse} of this.recent(nowMs)) {
      addCounts(total, modelsInUse[runnerId] ?? {});
    }
    return total;
  }

  /**
   * What all entries have open, in one message.
   *
   * @example loads.sum(clock.nowMs()).openWork // {'i-7f3a': 12.5}
   */
  sum(nowMs: number): EntryLoad {
    const openWork: Record<string, number> = {};
    const adapters: Record<string, Set<string>> = {};
    const modelsInUse: Record<string, Record<string, number>> = {};
    const waiting: Record<string, number> = {};
    for (const load of this.recent(nowMs)) {
      addCounts(openWork, load.openWork);
      addCounts(waiting, load.waiting);
      for (const [runnerId, counts] of Object.entries(load.modelsInUse)) {
        addCounts((modelsInUse[runnerId] ??= {}), counts);
      }
      for (const [runnerId, names] of Object.entries(load.adaptersInUse)) {
        const all = (adapters[runnerId] ??= new Set());
        for (const name of names) all.add(name);
      }
    }
    const adaptersInUse = Object.fromEntries(
      Object.entries(adapters).map(([id, names]) => [id, [...names]]),
    );
    const members = this.members(nowMs);
    return {members, openWork, adaptersInUse, modelsInUse, waiting};
  }

  private *recent(
    nowMs: number,
    excludedEntry?: string,
  ): Generator<ReceivedLoad> {
    for (const [entry, load] of this.entries) {
      if (entry === excludedEntry) continue;
      if (nowMs - load.receivedMs < this.expiryMs) yield load;
    }
  }
}

function addCounts(
  total: Record<string, number>,
  more: Readonly<Record<string, number>>,
): void {
  for (const [key, value] of Object.entries(more)) {
    total[key] = (total[key] ?? 0) + value;
  }
}
