/** What an amount of requests asks for, at most. */
export interface AskedWork {
  requests: number;
  promptTokens: number;
  outputTokens: number;
}

/** A plain call, or a prompt that is all cached and asks for no output. */
const BASE_WORK = 0.5;
/** Reading this many prompt tokens takes about as long as the unit of work. */
const PROMPT_TOKENS_PER_WORK = 8_000;
/** Generating this many tokens takes a place in the batch about as long. */
const OUTPUT_TOKENS_PER_WORK = 300;

/**
 * How much requests load a runner, against others; additive over requests.
 *
 * @example workOf({requests: 1, promptTokens: 8_000, outputTokens: 0}) // 1.5
 */
export function workOf(asked: AskedWork): number {
  const {requests, promptTokens, outputTokens} = asked;
  return (
    requests * BASE_WORK +
    promptTokens / PROMPT_TOKENS_PER_WORK +
    outputTokens / OUTPUT_TOKENS_PER_WORK
  );
}
