/** How a stream that ended went, against what its route allows. */
export interface StreamPace {
  /** The longest pause between two of its events. */
  longestPauseMs: number;
  /** What its route allows for one. */
  pauseTargetMs: number;
}

export interface PromptWindowOptions {
  /** Prompts that one entry may always have unread at a runner. */
  min: number;
  max: number;
  /** After a stream with too long a pause the window shrinks to this share. */
  decreaseTo: number;
  /**
   * After one in time it grows by so many prompts. With 0.03 against a tenth, one
   * stream in eight is late where the window stays, at two prompts.
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
 * How many prompts an entry may have unread at a runner at once, from the pauses
 * of the streams there: additive increase, multiplicative decrease.
 *
 * Answers the load of many short prompts among streams with tight pauses. A
 * runner reads prompts in pieces between the tokens of other requests, several
 * that come together in one step; all its streams stand still meanwhile. Spread
 * out, the same prompts hold each step up for less.
 *
 * @param window the number before, a fraction of a prompt included.
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
