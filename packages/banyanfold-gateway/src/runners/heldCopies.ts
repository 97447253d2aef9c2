import type {CopyChanges} from '../placement/copyRevisions.js';
import type {FleetView} from '../view/fleetView.js';

/** What one runner holds according to the last report of the holder. */
interface ReportedCopies {
  /** The incarnation that holds them; undefined if the holder doesn't tell. */
  bornMs: number | undefined;
  models: ReadonlySet<string>;
  adapters: Set<string>;
  /** Whether no adapter can be fetched at the moment. */
  isBusy: boolean;
}

/**
 * Returns the key of an adapter in sets and messages.
 *
 * @example adapterKey('m1', 'a3') // 'm1/a3'
 */
export function adapterKey(model: string, adapter: string): string {
  return `${model}/${adapter}`;
}

/** Covers one report interval (0.5 s) and one exchange interval (0.25 s). */
const ABSENCE_MS = 800;

/** Time until another holder can send orders and a load is complete. */
const NO_HOLDER_DELAY_MS = 4_000;

/**
 * Tracks which models and adapters each runner holds. The holder of the lease
 * knows first because it sends the orders. Registrations contain the same one
 * heartbeat later and are used while no holder answers.
 */
export class HeldCopies {
  private readonly reported = new Map<string, ReportedCopies>();
  /**
   * Expiry times by runner and copy. Each request checks every runner; building
   * a combined key for each check took 226 of the 4,626 ms that a holder was
   * busy within 10 s.
   */
  private readonly absentUntilMs = new Map<string, Map<string, number>>();
  private copyExpectedMs = new Map<string, number>();
  private reportedMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly view: FleetView,
    private readonly nowMs: () => number,
    /** How long a report of the holder stays valid without being renewed. */
    private readonly freshMs: number,
  ) {}

  /**
   * Time since the last report of the holder; infinite before the first one.
   */
  get ageMs(): number {
    return this.nowMs() - this.reportedMs;
  }

  holdsModel(runnerId: string, model: string): boolean {
    if (this.isAbsent(runnerId, model)) return false;
    const held = this.reportedCopies(runnerId);
    if (held) return held.models.has(model);
    return this.registeredModel(runnerId, model) !== undefined;
  }

  holdsAdapter(runnerId: string, model: string, adapter: string): boolean {
    const key = adapterKey(model, adapter);
    if (this.isAbsent(runnerId, key)) return false;
    const held = this.reportedCopies(runnerId);
    if (held) return held.adapters.has(key);
    return (
      this.registeredModel(runnerId, model)?.adapters.includes(adapter) ?? false
    );
  }

  /** Whether an adapter can be fetched to a runner now. */
  canFetch(runnerId: string): boolean {
    return !(this.reportedCopies(runnerId)?.isBusy ?? false);
  }

  /**
   * Estimated time until a copy serves; undefined if the holder has not
   * reported on it. Without a holder no copy is ordered, and requests that wait
   * for one time out.
   */
  copyDelayMs(model: string): number | undefined {
    if (this.ageMs === Number.POSITIVE_INFINITY) return undefined;
    if (this.ageMs > this.freshMs) return NO_HOLDER_DELAY_MS;
    const atMs = this.copyExpectedMs.get(model);
    if (atMs === undefined) return undefined;
    return Math.max(0, atMs - this.nowMs());
  }

  setCopyDelays(copiesInMs: Readonly<Record<string, number>>): void {
    const nowMs = this.nowMs();
    this.copyExpectedMs = new Map(
      Object.entries(copiesInMs).map(([model, inMs]) => [model, nowMs + inMs]),
    );
  }

  /**
   * Applies the changes that the holder reported.
   *
   * @param ageMs time since the holder reported them, which is longer through a
   *   relay.
   */
  applyChanges({isWhole, runners, gone}: CopyChanges, ageMs = 0): void {
    this.reportedMs = this.nowMs() - ageMs;
    if (isWhole) this.reported.clear();
    for (const runnerId of gone) this.reported.delete(runnerId);
    for (const {runnerId, bornMs, models, adapters, isBusy} of runners) {
      if (bornMs !== undefined) this.view.noteStart({runnerId, bornMs});
      this.reported.set(runnerId, {
        bornMs,
        models: new Set(models),
        adapters: new Set(adapters),
        isBusy,
      });
    }
  }

  /**
   * Drops what the runner held before its restart; its registration applies.
   */
  handleRestart(runnerId: string): void {
    this.reported.delete(runnerId);
  }

  addAdapter(runnerId: string, model: string, adapter: string): void {
    const key = adapterKey(model, adapter);
    this.reported.get(runnerId)?.adapters.add(key);
    this.absentUntilMs.get(runnerId)?.delete(key);
  }

  /**
   * Records that a runner refused a request because it doesn't hold the copy.
   * Reports and registrations may still list the copy for a while, and requests
   * would be routed to the same runner repeatedly.
   */
  markAbsent(runnerId: string, model: string, adapter?: string): void {
    const copy = adapter === undefined ? model : adapterKey(model, adapter);
    const untilMs = this.nowMs() + ABSENCE_MS;
    const copies =
      this.absentUntilMs.get(runnerId) ?? new Map<string, number>();
    copies.set(copy, untilMs);
    this.absentUntilMs.set(runnerId, copies);
  }

  private isAbsent(runnerId: string, copy: string): boolean {
    const copies = this.absentUntilMs.get(runnerId);
    const absentUntilMs = copies?.get(copy);
    if (copies === undefined || absentUntilMs === undefined) return false;
    if (this.nowMs() < absentUntilMs) return true;
    copies.delete(copy);
    if (copies.size === 0) this.absentUntilMs.delete(runnerId);
    return false;
  }

  private reportedCopies(runnerId: string): ReportedCopies | undefined {
    if (this.nowMs() - this.reportedMs > this.freshMs) return undefined;
    const held = this.reported.get(runnerId);
    if (held?.bornMs === undefined) return held;
    // What an earlier incarnation held is gone.
    const isCurrent = held.bornMs === this.view.runner(runnerId)?.bornMs;
    return isCurrent ? held : undefined;
  }

  private registeredModel(runnerId: string, model: string) {
    return this.view.runner(runnerId)?.models?.find(({name}) => name === model);
  }
}
