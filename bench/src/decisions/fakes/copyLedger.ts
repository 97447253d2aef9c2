import type {Move, PlacementCopy, Random} from '@banyanfold/decisions';
import type {EventQueue} from '../eventQueue.js';
import type {Faults} from '../scenarios.js';
import type {FakeRetirementLog} from './fakeRetirementLog.js';
import type {FakeWeightStore} from './fakeWeightStore.js';

/** What the copies of one backend server need around them. */
export interface LedgerContext {
  events: EventQueue;
  store: FakeWeightStore;
  log: FakeRetirementLog;
  faults: Faults;
  random: Random;
  /** Whether an artifact is published now. */
  isLabelled: (artifact: string) => boolean;
  countMove: () => void;
}

interface Copy {
  artifact: string;
  bytes: number;
  copyId: string;
  state: PlacementCopy['state'];
  lastUsedMs: number;
  inUse: number;
}

const ORDER_RESEND_MS = 3_000;
const UNLOAD_MS = 500;

let copyCount = 0;

/** The copies on one backend server, and the memory that they take. */
export class CopyLedger {
  readonly copies = new Map<string, Copy>();
  /** Artifacts that serve; replaced when it changes, never altered. */
  held: ReadonlySet<string> = new Set();
  private usedBytes = 0;
  private generation = 0;

  constructor(
    private readonly context: LedgerContext,
    readonly capacityBytes: number,
  ) {}

  get freeBytes(): number {
    return this.capacityBytes - this.usedBytes;
  }

  /** Sets up a copy before the run begins; it is no move. */
  seed(artifact: string, bytes: number): void {
    this.reserve(artifact, bytes).state = 'held';
    this.refreshHeld();
  }

  clear(): void {
    this.copies.clear();
    this.usedBytes = 0;
    this.generation += 1;
    this.refreshHeld();
  }

  use(artifact: string): void {
    const copy = this.copies.get(artifact);
    if (!copy) return;
    copy.inUse += 1;
    copy.lastUsedMs = this.context.events.nowMs;
  }

  release(artifact: string): void {
    const copy = this.copies.get(artifact);
    if (!copy || copy.inUse === 0) return;
    copy.inUse -= 1;
    copy.lastUsedMs = this.context.events.nowMs;
    this.unloadIfUnused(copy);
  }

  /** Judges a proposed load or retirement, and starts it. */
  propose(move: Move): boolean {
    if (move.kind === 'load') return this.proposeLoad(move);
    return this.proposeRetire(move);
  }

  snapshot(): PlacementCopy[] {
    const nowMs = this.context.events.nowMs;
    return [...this.copies.values()].map(copy => ({
      artifact: copy.artifact,
      bytes: copy.bytes,
      copyId: copy.copyId,
      state: copy.state,
      idleMs: copy.inUse > 0 ? 0 : nowMs - copy.lastUsedMs,
    }));
  }

  private proposeLoad(move: Move): boolean {
    if (this.copies.has(move.artifact)) return false;
    if (move.bytes > this.freeBytes) return false;
    if (!this.holdsModelOf(move.artifact)) return false;
    const copy = this.reserve(move.artifact, move.bytes);
    this.sendOrder(() => this.startLoad(copy));
    return true;
  }

  /** As in the agent, an adapter is loaded only beside a model that serves. */
  private holdsModelOf(artifact: string): boolean {
    const [model] = artifact.split('+');
    return model === artifact || this.held.has(model!);
  }

  private startLoad(copy: Copy): void {
    const {generation} = this;
    const started = this.context.store.load(copy.bytes, () => {
      if (generation !== this.generation) return;
      copy.state = 'held';
      copy.lastUsedMs = this.context.events.nowMs;
      this.refreshHeld();
    });
    if (started) this.context.countMove();
    else this.drop(copy);
  }

  private proposeRetire(move: Move): boolean {
    const copy = this.copies.get(move.artifact);
    if (!copy || copy.state !== 'held') return false;
    const prefix = `${move.artifact}+`;
    for (const artifact of this.copies.keys()) {
      if (artifact.startsWith(prefix)) return false;
    }
    const {log, isLabelled} = this.context;
    if (isLabelled(copy.artifact)) {
      if (!log.retire(copy.copyId, move.reliesOnCopyIds)) return false;
    }
    copy.state = 'releasing';
    this.context.countMove();
    this.refreshHeld();
    this.unloadIfUnused(copy);
    return true;
  }

  private unloadIfUnused(copy: Copy): void {
    if (copy.state !== 'releasing' || copy.inUse > 0) return;
    const {generation} = this;
    this.sendOrder(() => {
      this.context.events.after(UNLOAD_MS, () => {
        if (generation === this.generation) this.drop(copy);
      });
    });
  }

  /** An order may be late; a lost one is sent again with the same id. */
  private sendOrder(run: () => void): void {
    const {events, faults, random} = this.context;
    const {generation} = this;
    let delayMs = random() * faults.orderLateMs;
    while (random() < faults.orderLossShare) delayMs += ORDER_RESEND_MS;
    events.after(delayMs, () => {
      if (generation === this.generation) run();
    });
  }

  private reserve(artifact: string, bytes: number): Copy {
    const copy: Copy = {
      artifact,
      bytes,
      copyId: `c${copyCount++}`,
      state: 'reserved',
      lastUsedMs: this.context.events.nowMs,
      inUse: 0,
    };
    this.copies.set(artifact, copy);
    this.usedBytes += bytes;
    return copy;
  }

  private drop(copy: Copy): void {
    if (this.copies.get(copy.artifact) !== copy) return;
    this.copies.delete(copy.artifact);
    this.usedBytes -= copy.bytes;
    this.refreshHeld();
  }

  private refreshHeld(): void {
    const held = new Set<string>();
    for (const copy of this.copies.values()) {
      if (copy.state === 'held') held.add(copy.artifact);
    }
    this.held = held;
  }
}
