/** An upper bound on what a number of requests needs. */
export interface RequestedWork {
  requests: number;
  promptTokens: number;
  outputTokens: number;
}

/**
 * Load on a runner, in thousands of prompt tokens. The prefill of a prompt
 * delays every stream in the batch; one more sequence hardly slows a decode
 * step.
 */
export interface Work {
  /** Work until the first token. */
  prefill: number;
  /** Work from the first token to the last. */
  decode: number;
}

const TOKENS_PER_WORK = 1_000;
/**
 * Prompt tokens whose prefill takes as long as the decoding of one output
 * token. In a full batch the ratio is about 3: a step takes 5.5 ms for 64
 * requests, and the prefill rate is 38 tokens/ms. In a batch with free slots it
 * is below 1, as another request does not lengthen the step.
 */
const PREFILL_TOKENS_PER_OUTPUT_TOKEN = 1;
/** Work of a call without tokens; a plain service counts calls. */
const PLAIN_WORK = 1;

/**
 * Returns the load that requests put on a runner; additive over requests.
 *
 * @example workOf({requests: 1, promptTokens: 8_000, outputTokens: 50})
 * // {prefill: 8, decode: 0.05}
 */
export function workOf(requested: RequestedWork): Work {
  const {requests, promptTokens, outputTokens} = requested;
  if (promptTokens === 0) return {prefill: requests * PLAIN_WORK, decode: 0};
  const decodeTokens = outputTokens * PREFILL_TOKENS_PER_OUTPUT_TOKEN;
  return {
    prefill: promptTokens / TOKENS_PER_WORK,
    decode: decodeTokens / TOKENS_PER_WORK,
  };
}
