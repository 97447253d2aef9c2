import type {InferenceRequest} from '../types.js';

/** A plain call, or a prompt that is all cached and asks for no output. */
const BASE_WORK = 0.5;
/** Reading this many prompt tokens takes about as long as the unit of work. */
const PROMPT_TOKENS_PER_WORK = 8_000;
/** Generating this many tokens takes a place in the batch about as long. */
const OUTPUT_TOKENS_PER_WORK = 300;

/** How much a request loads its runner, against others. */
export function workOf(request: InferenceRequest): number {
  const {promptTokens, maxOutputTokens} = request;
  return (
    BASE_WORK +
    promptTokens / PROMPT_TOKENS_PER_WORK +
    maxOutputTokens / OUTPUT_TOKENS_PER_WORK
  );
}
