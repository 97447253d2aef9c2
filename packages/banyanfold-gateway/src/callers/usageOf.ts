import type {InferenceRequest, UsageCap} from '../types.js';

/**
 * Returns the amount that a request is charged against a cap, in the cap's
 * unit.
 *
 * @example usageOf({promptTokens: 9_190, maxOutputTokens: 52}, cap) // 9242
 */
export function usageOf(
  {
    promptTokens,
    maxOutputTokens,
  }: Pick<InferenceRequest, 'promptTokens' | 'maxOutputTokens'>,
  {unit, plainTokens}: UsageCap,
): number {
  if (unit === 'requests') return 1;
  return promptTokens + maxOutputTokens || plainTokens;
}
