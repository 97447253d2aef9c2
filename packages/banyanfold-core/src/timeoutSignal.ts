import {startTimer} from './startTimer.js';

/**
 * Returns a signal that aborts after a timeout. Unlike `AbortSignal.timeout`, it
 * aborts no call whose response arrived while the process was stalled.
 *
 * @param timeoutMs in milliseconds, from now.
 * @example await fetch(url, {signal: timeoutSignal(1_000)})
 */
export function timeoutSignal(timeoutMs: number): AbortSignal {
  const controller = new AbortController();
  const message = 'The operation was aborted due to timeout';
  startTimer(
    timeoutMs,
    () => controller.abort(new DOMException(message, 'TimeoutError')),
    {keepsProcessAlive: false},
  );
  return controller.signal;
}
