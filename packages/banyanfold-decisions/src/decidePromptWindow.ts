/** Pauses of a stream that ended, and the limit that its route sets. */
export interface StreamPace {
  /** Longest pause between two events of the stream. */
  longestPauseMs: number;
  /** Longest pause that the route allows. */
  pauseTargetMs: number;
}

export interface PromptWindowOptions {
  /** Number of unread prompts that one entry may always have at a runner. */
  min: number;
  max: number;
  /** Factor that shrinks the window after a stream with too long a pause. */
  decreaseTo: number;
  /**
   * Prompts added to the window after a stream in time. With 0.03, and a
   * decrease by a tenth, a window of two prompts is stable when one stream in
   * eight is late.
   */
  increaseBy: number;
}

export const DEFAULT_PROMPT_WINDOW_OPTIONS: PromptWindowOptions = {
  min: 1,
  max: 64,
  decreaseTo: 0.9,
  increaseBy: 0.03,
};

/**
 * Adjusts the number of prompts that an entry may have unread at a runner, by
 * additive increase and multiplicative decrease from the pauses of the streams
 * there.
 *
 * Designed for many short prompts next to streams with tight pause targets. A
 * runner reads prompts in chunks between the tokens of other requests, and
 * several prompts that arrive together in one step, during which all its
 * streams pause. Spread out, the same prompts delay each step less.
 *
 * @param window current size, including the fraction of a prompt.
 * @example decidePromptWindow(4, {longestPauseMs: 300, pauseTargetMs: 150}) // 3.6
 */
export function decidePromptWindow(
  window: number,
  {longestPauseMs, pauseTargetMs}: StreamPace,
  options: PromptWindowOptions = DEFAULT_PROMPT_WINDOW_OPTIONS,
): number {
  const {min, max, decreaseTo, increaseBy} = options;
  if (longestPauseMs > pauseTargetMs) return Math.max(min, window * decreaseTo);
  return Math.min(max, window + increaseBy);
}
