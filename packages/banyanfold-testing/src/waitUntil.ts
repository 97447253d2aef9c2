const POLL_MS = 25;
const DEFAULT_GIVE_UP_MS = 45_000;
/** A wait that takes longer is printed, as the test's own limit may end it. */
const SLOW_WAIT_MS = 10_000;

/**
 * Waits until a condition holds. The bound only ends a test that hangs; no
 * verdict depends on how long it took.
 *
 * @throws when the condition does not hold in `giveUpMs`.
 * @example await waitUntil('ready', () => stack.isReady())
 */
export async function waitUntil(
  what: string,
  condition: () => Promise<boolean> | boolean,
  giveUpMs = DEFAULT_GIVE_UP_MS,
): Promise<void> {
  const endMs = performance.now() + giveUpMs;
  const slowTimer = setInterval(
    () => console.warn(`still waiting: ${what}`),
    SLOW_WAIT_MS,
  );
  try {
    while (!(await condition())) {
      if (performance.now() > endMs) throw new Error(`gave up on: ${what}`);
      await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
  } finally {
    clearInterval(slowTimer);
  }
}
