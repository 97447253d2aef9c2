import type {Clock} from '@banyanfold/core';

/** A pause of one request that can be cut short. */
export class WakeablePause {
  private end: (() => void) | undefined;

  constructor(private readonly clock: Clock) {}

  /** Resolves after the delay, or when it is woken. */
  wait(delayMs: number): Promise<void> {
    return new Promise(resolve => {
      const timer = this.clock.setTimer(delayMs, resolve);
      this.end = () => {
        timer.cancel();
        this.end = undefined;
        resolve();
      };
    });
  }

  wake(): void {
    this.end?.();
  }
}
