/** Holds what arrives while the engine is paused. */
export class PauseGate {
  private waiters: Array<() => void> = [];
  private isPaused = false;

  /** Resolves at once, or when the pause is over. */
  whenAwake(): Promise<void> {
    if (!this.isPaused) return Promise.resolve();
    return new Promise(resolve => this.waiters.push(resolve));
  }

  set(isPaused: boolean): void {
    this.isPaused = isPaused;
    if (isPaused) return;
    const waiters = this.waiters;
    this.waiters = [];
    for (const wake of waiters) wake();
  }
}
