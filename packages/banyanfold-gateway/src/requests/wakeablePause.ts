import type {Clock} from '@banyanfold/core';

/** A pause of one request that can be interrupted. */
export class WakeablePause {
  private interrupt: (() => void) | undefined;

  constructor(private readonly clock: Clock) {}

  /** Resolves after the delay or when `wake` is called, whichever is first. */
  wait(delayMs: number): Promise<void> {
    return new Promise(resolve => {
      const timer = this.clock.setTimer(delayMs, resolve);
      this.interrupt = () => {
        timer.cancel();
        this.interrupt = undefined;
        resolve();
      };
    });
  }

  wake(): void {
    this.interrupt?.();
  }
}
