import {startTimer} from './startTimer.js';

/**
 * Aborts what takes longer. Unlike `AbortSignal.timeout` it gives up no answer that
 * waits at the socket of a process that stood still.
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
