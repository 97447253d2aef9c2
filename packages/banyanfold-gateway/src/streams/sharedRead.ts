/**
 * Shares reads between callers that need one which is sent after their call. One
 * read runs at a time; callers that arrive meanwhile share the next one.
 *
 * @example
 * const reads = new SharedRead(() => fleet.confirmRunners());
 * const isCurrent = await reads.sendNext();
 */
export class SharedRead<T> {
  private running: Promise<T> | undefined;
  private next: Promise<T> | undefined;

  constructor(private readonly read: () => Promise<T>) {}

  /** Resolves to the result of the first read that is sent from now on. */
  sendNext(): Promise<T> {
    if (!this.running) return this.send();
    this.next ??= this.running.then(
      () => this.sendQueued(),
      () => this.sendQueued(),
    );
    return this.next;
  }

  private sendQueued(): Promise<T> {
    this.next = undefined;
    return this.send();
  }

  private send(): Promise<T> {
    const running = this.read().finally(() => {
      if (this.running === running) this.running = undefined;
    });
    this.running = running;
    return running;
  }
}
