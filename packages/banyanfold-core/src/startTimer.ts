/** A timer that fires this late indicates that the process was stalled. */
const STALL_THRESHOLD_MS = 20;
/** The runtime's timers fire at once if they are set for longer. */
const MAX_RUNTIME_DELAY_MS = 2 ** 31 - 1;

/** The handle of a pending timer. */
export interface Timer {
  cancel(): void;
}

/** Options for `startTimer`. */
export interface StartTimerOptions {
  /** Whether the pending timer keeps the process running. */
  keepsProcessAlive?: boolean;
}

/**
 * Calls back after a delay. After a stall, Node runs its timers before it reads its
 * sockets, so a call would time out although its response has arrived. A late timer
 * therefore runs its callback after the sockets have been read.
 *
 * @param delayMs in milliseconds, from now; see {@link soundDelayMs}.
 * @example startTimer(1_000, () => abort()).cancel()
 */
export function startTimer(
  delayMs: number,
  callback: () => void,
  {keepsProcessAlive = true}: StartTimerOptions = {},
): Timer {
  let remainingMs = soundDelayMs(delayMs);
  const dueMs = performance.now() + remainingMs;
  let timeout: NodeJS.Timeout;
  let immediate: NodeJS.Immediate | undefined;
  const finish = () => {
    const isLate = performance.now() - dueMs >= STALL_THRESHOLD_MS;
    if (isLate) immediate = setImmediate(callback);
    else callback();
  };
  const wait = () => {
    const stepMs = Math.min(remainingMs, MAX_RUNTIME_DELAY_MS);
    remainingMs -= stepMs;
    timeout = setTimeout(remainingMs > 0 ? wait : finish, stepMs);
    if (!keepsProcessAlive) timeout.unref();
  };
  wait();
  return {
    cancel() {
      clearTimeout(timeout);
      clearImmediate(immediate);
    },
  };
}

/**
 * Returns a delay that each timer can wait for: 0 for one that is negative or
 * not a number, so that its timer doesn't wait for ever. An infinite delay has
 * no end.
 *
 * @example soundDelayMs(-1) // 0
 */
export function soundDelayMs(delayMs: number): number {
  return delayMs > 0 ? delayMs : 0;
}
