import type {ToldChanges} from '../placement/copyRevisions.js';
import type {FleetView} from '../view/fleetView.js';

/** What one runner holds, as the holder of orders last told. */
interface ToldCopies {
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
const ABSENT_MS = 800;

/** Until another holder may order, and a load is over. */
const NO_HOLDER_MS = 4_000;

/**
 * What runners hold. The holder of orders knows first, because it gives them;
 * registrations tell the same a heartbeat later and serve while none is heard.
 */
export class HeldCopies {
  private readonly told = new Map<string, ToldCopies>();
  /**
   * By runner and copy. A request looks at every runner; one key of both, built for
   * each look, took 226 of the 4,626 ms that a holder was busy within 10 s.
   */
  private readonly absentUntilMs = new Map<string, Map<string, number>>();
  private copyAtMs = new Map<string, number>();
  private toldAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly view: FleetView,
    private readonly nowMs: () => number,
    /** What the holder told counts this long without its saying it again. */
    private readonly freshMs: number,
  ) {}

  /** Since the holder last told; infinite before it did. */
  get ageMs(): number {
    return this.nowMs() - this.toldAtMs;
  }

  holdsModel(runnerId: string, model: string): boolean {
    if (this.isAbsent(runnerId, model)) return false;
    const told = this.toldOf(runnerId);
    if (told) return told.models.has(model);
    return this.registered(runnerId, model) !== undefined;
  }

  holdsAdapter(runnerId: string, model: string, adapter: string): boolean {
    const key = adapterKey(model, adapter);
    if (this.isAbsent(runnerId, key)) return false;
    const told = this.toldOf(runnerId);
    if (told) return told.adapters.has(key);
    return (
      this.registered(runnerId, model)?.adapters.includes(adapter) ?? false
    );
  }

  /** Whether an adapter can be fetched to a runner now. */
  canFetch(runnerId: string): boolean {
    return !(this.toldOf(runnerId)?.isBusy ?? false);
  }

  /**
   * Until a copy serves; undefined when the holder has told nothing of it. While
   * no holder is heard nobody orders a copy, and callers who wait for one leave.
   */
  copyInMs(model: string): number | undefined {
    if (this.ageMs === Number.POSITIVE_INFINITY) return undefined;
    if (this.ageMs > this.freshMs) return NO_HOLDER_MS;
    const atMs = this.copyAtMs.get(model);
    if (atMs === undefined) return undefined;
    return Math.max(0, atMs - this.nowMs());
  }

  tellCopiesInMs(copiesInMs: Readonly<Record<string, number>>): void {
    const nowMs = this.nowMs();
    this.copyAtMs = new Map(
      Object.entries(copiesInMs).map(([model, inMs]) => [model, nowMs + inMs]),
    );
  }

  /**
   * Takes in what the holder told.
   *
   * @param ageMs since the holder said it; a relay passes its word on later.
   */
  tell({isWhole, runners, gone}: ToldChanges, ageMs = 0): void {
    this.toldAtMs = this.nowMs() - ageMs;
    if (isWhole) this.told.clear();
    for (const runnerId of gone) this.told.delete(runnerId);
    for (const {runnerId, models, adapters, isBusy} of runners) {
      this.told.set(runnerId, {
        models: new Set(models),
        adapters: new Set(adapters),
        isBusy,
      });
    }
  }

  /** It has started again and holds what it registers, nothing of before. */
  noteRestart(runnerId: string): void {
    this.told.delete(runnerId);
  }

  noteAdapter(runnerId: string, model: string, adapter: string): void {
    const key = adapterKey(model, adapter);
    this.told.get(runnerId)?.adapters.add(key);
    this.absentUntilMs.get(runnerId)?.delete(key);
  }

  /**
   * A runner said that something isn't there after all. What is told or
   * registered may go on naming it for a while, and a request would be sent to
   * the same runner again and again.
   */
  noteAbsent(runnerId: string, model: string, adapter?: string): void {
    const copy = adapter === undefined ? model : adapterKey(model, adapter);
    const untilMs = this.nowMs() + ABSENT_MS;
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

  private toldOf(runnerId: string): ToldCopies | undefined {
    if (this.nowMs() - this.toldAtMs > this.freshMs) return undefined;
    return this.told.get(runnerId);
  }

  private registered(runnerId: string, model: string) {
    return this.view.runner(runnerId)?.models?.find(({name}) => name === model);
  }
}
