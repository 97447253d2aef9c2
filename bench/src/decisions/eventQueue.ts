interface Event {
  atMs: number;
  sequence: number;
  run: () => void;
}

/** Events on a virtual clock, run in order of time. */
export class EventQueue {
  nowMs = 0;
  private sequence = 0;
  private readonly heap: Event[] = [];

  after(delayMs: number, run: () => void): void {
    this.at(this.nowMs + Math.max(0, delayMs), run);
  }

  at(atMs: number, run: () => void): void {
    this.heap.push({atMs, sequence: this.sequence++, run});
    this.siftUp(this.heap.length - 1);
  }

  /** Runs `step` every `periodMs`, first after one period. */
  every(periodMs: number, step: () => void): void {
    this.after(periodMs, () => {
      step();
      this.every(periodMs, step);
    });
  }

  runUntil(endMs: number): void {
    for (;;) {
      const first = this.heap[0];
      if (!first || first.atMs > endMs) break;
      this.removeFirst();
      this.nowMs = first.atMs;
      first.run();
    }
    this.nowMs = endMs;
  }

  private removeFirst(): void {
    const last = this.heap.pop()!;
    if (this.heap.length === 0) return;
    this.heap[0] = last;
    this.siftDown(0);
  }

  private siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.isBefore(index, parent)) return;
      this.swap(index, parent);
      index = parent;
    }
  }

  private siftDown(start: number): void {
    let index = start;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      let first = index;
      if (left < this.heap.length && this.isBefore(left, first)) first = left;
      if (right < this.heap.length && this.isBefore(right, first)) {
        first = right;
      }
      if (first === index) return;
      this.swap(index, first);
      index = first;
    }
  }

  private isBefore(a: number, b: number): boolean {
    const first = this.heap[a]!;
    const second = this.heap[b]!;
    if (first.atMs !== second.atMs) return first.atMs < second.atMs;
    return first.sequence < second.sequence;
  }

  private swap(a: number, b: number): void {
    const held = this.heap[a]!;
    this.heap[a] = this.heap[b]!;
    this.heap[b] = held;
  }
}
