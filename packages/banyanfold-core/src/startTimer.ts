/** A timer that fires this late indicates that the process was stalled. */
const STALL_THRESHOLD_MS = 20;

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
 * @param delayMs in milliseconds, from now.
 * @example startTimer(1_000, () => abort()).cancel()
 */
export function startTimer(
  delayMs: number,
  callback: () => void,
  {keepsProcessAlive = true}: StartTimerOptions = {},
): Timer {
  const dueMs = performance.now() + delayMs;
  let immediate: NodeJS.Immediate | undefined;
  const timeout = setTimeout(() => {
    const isLate = performance.now() - dueMs >= STALL_THRESHOLD_MS;
    if (isLate) immediate = setImmediate(callback);
    else callback();
  }, delayMs);
  if (!keepsProcessAlive) timeout.unref();
  return {
    cancel() {
      clearTimeout(timeout);
      clearImmediate(immediate);
    },
  };
}
