import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {systemClock, VirtualClock, type Clock} from '../clock.js';
import {startTimer} from '../startTimer.js';

/** What a timer of the runtime takes; it fires after 1 ms for more. */
const MAX_RUNTIME_DELAY_MS = 2 ** 31 - 1;
const SOON_MS = 10;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.restoreAllMocks();
  vi.useRealTimers();
});

describe('startTimer', () => {
  // Guards against a time-out that is set for longer than the runtime's timers
  // take and ends a call at once.
  it.each([MAX_RUNTIME_DELAY_MS + 1, 1e12, 1e300, Infinity])(
    'does not call back early after a delay of %d ms',
    delayMs => {
      const callback = vi.fn();
      startTimer(delayMs, callback);
      vi.advanceTimersByTime(MAX_RUNTIME_DELAY_MS);
      expect(callback).not.toHaveBeenCalled();
    },
  );

  it('calls back once after a delay that the runtime does not take', () => {
    const callback = vi.fn();
    startTimer(2 * MAX_RUNTIME_DELAY_MS + SOON_MS, callback);
    vi.advanceTimersByTime(2 * MAX_RUNTIME_DELAY_MS + SOON_MS - 1);
    expect(callback).not.toHaveBeenCalled();
    vi.advanceTimersByTime(1);
    expect(callback).toHaveBeenCalledTimes(1);
    vi.runAllTimers();
    expect(callback).toHaveBeenCalledTimes(1);
  });

  it('is cancelled in the second part of a long delay', () => {
    const callback = vi.fn();
    const timer = startTimer(2 * MAX_RUNTIME_DELAY_MS, callback);
    vi.advanceTimersByTime(MAX_RUNTIME_DELAY_MS + SOON_MS);
    timer.cancel();
    expect(vi.getTimerCount()).toBe(0);
    vi.runAllTimers();
    expect(callback).not.toHaveBeenCalled();
  });

  it('keeps the process alive only if asked to, also for long delays', () => {
    const setTimer = vi.spyOn(globalThis, 'setTimeout');
    startTimer(2 * MAX_RUNTIME_DELAY_MS, () => {}, {keepsProcessAlive: false});
    vi.advanceTimersByTime(MAX_RUNTIME_DELAY_MS);
    const handles = setTimer.mock.results.map(
      ({value}) => value as NodeJS.Timeout,
    );
    expect(handles.map(handle => handle.hasRef())).toEqual([false, false]);
  });
});

// Guards against decisions that differ between the tests' clock and the real
// one, and against a virtual time that is no longer a number.
describe.each<[string, () => {clock: Clock; advance(ms: number): unknown}]>([
  [
    'systemClock',
    () => ({
      clock: systemClock,
      advance: ms => vi.advanceTimersByTimeAsync(ms),
    }),
  ],
  [
    'VirtualClock',
    () => {
      vi.useRealTimers();
      const clock = new VirtualClock();
      return {clock, advance: ms => clock.advance(ms)};
    },
  ],
])('setTimer of %s', (_name, create) => {
  it.each([-Infinity, -1e300, -1, 0, NaN])(
    'calls back soon after a delay of %d ms',
    async delayMs => {
      const {clock, advance} = create();
      const callback = vi.fn(() => clock.nowMs());
      clock.setTimer(delayMs, callback);
      await advance(SOON_MS);
      expect(callback).toHaveBeenCalledTimes(1);
      expect(callback).not.toHaveReturnedWith(NaN);
    },
  );

  it.each([1e300, Infinity])(
    'does not call back early after a delay of %d ms',
    async delayMs => {
      const {clock, advance} = create();
      const callback = vi.fn();
      clock.setTimer(delayMs, callback);
      await advance(SOON_MS);
      expect(callback).not.toHaveBeenCalled();
    },
  );
});
