import type {CopyChanges} from '../placement/copyRevisions.js';
import type {FleetView} from '../view/fleetView.js';

/** What one runner holds, as the holder of orders last told. */
interface ReportedCopies {
  models: ReadonlySet<string>;
  adapters: Set<string>;
  /** No adapter can be fetched now. */
  isBusy: boolean;
}

/** @example adapterKey('m1', 'a3') // 'm1/a3' */
export function adapterKey(model: string, adapter: string): string {
  return `${model}/${adapter}`;
}

/** Reports are asked for twice a second and told four times a second. */
const ABSENCE_MS = 800;

/** Until another holder may order, and a load is over. */
const NO_HOLDER_DELAY_MS = 4_000;

/**
 * What runners hold. The holder of orders knows first, because it gives them;
 * registrations tell the same a heartbeat later and serve while none is heard.
 */
export class HeldCopies {
  private readonly reported = new Map<string, ReportedCopies>();
  /**
   * By runner and copy. A request looks at every runner; one key of both, built for
   * each look, took 226 of the 4,626 ms that a holder was busy within 10 s.
   */
  private readonly absentUntilMs = new Map<string, Map<string, number>>();
  private copyExpectedMs = new Map<string, number>();
  private reportedMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly view: FleetView,
    private readonly nowMs: () => number,
    /** What the holder told counts this long without its saying it again. */
    private readonly freshMs: number,
  ) {}

  /** Since the holder last told; infinite before it did. */
  get ageMs(): number {
    return this.nowMs() - this.reportedMs;
  }

  holdsModel(runnerId: string, model: string): boolean {
    if (this.isAbsent(runnerId, model)) return false;
    const told = this.reportedCopies(runnerId);
    if (told) return told.models.has(model);
    return this.registeredModel(runnerId, model) !== undefined;
  }

  holdsAdapter(runnerId: string, model: string, adapter: string): boolean {
    const key = adapterKey(model, adapter);
    if (this.isAbsent(runnerId, key)) return false;
    const told = this.reportedCopies(runnerId);
    if (told) return told.adapters.has(key);
    return (
      this.registeredModel(runnerId, model)?.adapters.includes(adapter) ?? false
    );
  }

  /** Whether an adapter can be fetched to a runner now. */
  canFetch(runnerId: string): boolean {
    return !(this.reportedCopies(runnerId)?.isBusy ?? false);
  }

  /**
   * Until a copy serves; undefined when the holder has told nothing of it. While
   * no holder is heard nobody orders a copy, and callers who wait for one leave.
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
   * Takes in what the holder told.
   *
   * @param ageMs since the holder said it; a relay passes its word on later.
   */
  applyChanges({isWhole, runners, gone}: CopyChanges, ageMs = 0): void {
    this.reportedMs = this.nowMs() - ageMs;
    if (isWhole) this.reported.clear();
    for (const runnerId of gone) this.reported.delete(runnerId);
    for (const {runnerId, models, adapters, isBusy} of runners) {
      this.reported.set(runnerId, {
        models: new Set(models),
        adapters: new Set(adapters),
        isBusy,
      });
    }
  }

  /** It has started again and holds what it registers, nothing of before. */
  handleRestart(runnerId: string): void {
    this.reported.delete(runnerId);
  }

  addAdapter(runnerId: string, model: string, adapter: string): void {
    const key = adapterKey(model, adapter);
    this.reported.get(runnerId)?.adapters.add(key);
    this.absentUntilMs.get(runnerId)?.delete(key);
  }

  /**
   * A runner said that something isn't there after all. What is told or
   * registered may go on naming it for a while, and a request would be sent to
   * the same runner again and again.
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
    const untilMs = copies?.get(copy);
    if (copies === undefined || untilMs === undefined) return false;
    if (this.nowMs() < untilMs) return true;
    copies.delete(copy);
    if (copies.size === 0) this.absentUntilMs.delete(runnerId);
    return false;
  }

  private reportedCopies(runnerId: string): ReportedCopies | undefined {
    if (this.nowMs() - this.reportedMs > this.freshMs) return undefined;
    return this.reported.get(runnerId);
  }

  private registeredModel(runnerId: string, model: string) {
    return this.view.runner(runnerId)?.models?.find(({name}) => name === model);
  }
}
