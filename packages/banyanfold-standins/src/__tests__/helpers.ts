import type {VirtualClock} from '@banyanfold/core';
import type {InferenceRequest} from '../index.js';

/** What became of a promise after the clock moved on, or `pending`. */
export async function outcomeAfter<T>(
  clock: VirtualClock,
  waitMs: number,
  promise: Promise<T>,
): Promise<T | 'pending'> {
  let outcome: T | 'pending' = 'pending';
  void promise.then(value => (outcome = value));
  await clock.advance(waitMs);
  return outcome;
}

export function chatRequest(
  change: Partial<InferenceRequest> = {},
): InferenceRequest {
  return {
    requestId: 'r1',
    kind: 'chat',
    artifact: 'claims@3',
    prompt: 'user: hello\n',
    maxTokens: 4,
    finishReason: 'length',
    priority: 0,
    stream: true,
    includeUsage: false,
    ...change,
  };
}

/** Lines of a truth record without their times. */
export function kindsOf(entries: ReadonlyArray<{kind: string}>): string[] {
  return entries.map(({kind}) => kind);
}
