/** A timer that is late by this much shows that the process stood still. */
const STALL_MS = 20;

/** A handle of a pending timer. */
export interface Timer {
  cancel(): void;
}

/** How a timer is started. */
export interface StartTimerOptions {
  /** Whether the process goes on running for it. */
  keepsProcessAlive?: boolean;
}

/**
 * Calls back after a delay. After a stall of the process Node runs its timers before
 * it reads its sockets, and a call whose answer has come would count as unanswered;
 * so a late timer lets the sockets be read first.
 *
 * @param delayMs in milliseconds, from now.
 * @example startTimer(1_000, () => giveUp()).cancel()
 */
export function startTimer(
  delayMs: number,
  callback: () => void,
  {keepsProcessAlive = true}: StartTimerOptions = {},
): Timer {
  const dueMs = performance.now() + delayMs;
  let immediate: NodeJS.Immediate | undefined;
  const timeout = setTimeout(() => {
    const isLate = performance.now() - dueMs >= STALL_MS;
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
