import type {EventQueue} from '../eventQueue.js';

const BYTES_PER_SECOND = 2e9;
const BASE_MS = 800;
const SECOND_MS = 1_000;

/** A weight store with its limits on loads a second and loads at once. */
export class FakeWeightStore {
  private atOnce = 0;
  private readonly recentMs: number[] = [];

  constructor(
    private readonly events: EventQueue,
    private readonly limits: {
      loadsPerSecond: number;
      loadsAtOnce: number;
      slowdown: number;
    },
  ) {}

  /** Starts a load, or returns false where a limit forbids it (a 429). */
  load(bytes: number, onLoaded: () => void): boolean {
    const nowMs = this.events.nowMs;
    while (this.recentMs[0]! <= nowMs - SECOND_MS) this.recentMs.shift();
    if (this.recentMs.length >= this.limits.loadsPerSecond) return false;
    if (this.atOnce >= this.limits.loadsAtOnce) return false;
    this.recentMs.push(nowMs);
    this.atOnce += 1;
    const durationMs = BASE_MS + (bytes / BYTES_PER_SECOND) * SECOND_MS;
    this.events.after(durationMs * this.limits.slowdown, () => {
      this.atOnce -= 1;
      onLoaded();
    });
    return true;
  }
}
