import {expectedText, textSeed} from '@banyanfold/standins';
import type {ModelResult} from './CallerClient.js';

/** What a stand-in says it did. */
export type Truth = ReadonlyArray<Record<string, unknown>>;

/** The entries of one kind. */
export function ofKind(truth: Truth, kind: string): Truth {
  return truth.filter(entry => entry['kind'] === kind);
}

/**
 * Requests whose caller was told "not run" and that an engine started.
 *
 * @param artifacts Those that a request's name may have meant.
 */
export function falselyNotRun(
  results: readonly ModelResult[],
  truth: Truth,
  artifactsOf: (model: string) => readonly string[],
): ModelResult[] {
  const started = new Set(
    ofKind(truth, 'request-started').map(entry => entry['promptSeed']),
  );
  return results.filter(
    ({outcome, call}) =>
      outcome === 'not-run' &&
      artifactsOf(call.model).some(artifact =>
        started.has(textSeed(artifact, call.prompt)),
      ),
  );
}

/**
 * Answers that aren't their request's own whole one, and clean ends on a part.
 * A refusal and a broken connection are visible errors, and no fault here.
 */
export function wrongAnswers(
  results: readonly ModelResult[],
  artifactsOf: (model: string) => readonly string[],
): ModelResult[] {
  return results.filter(({end, text, call}) => {
    if (end === 'part') return true;
    if (end !== 'whole') return false;
    return !artifactsOf(call.model).some(
      artifact => text === expectedText(artifact, call.prompt, call.maxTokens),
    );
  });
}

/** Keys that a plain service has run more than once. */
export function keysRunTwice(truth: Truth): string[] {
  const runs = new Map<string, number>();
  for (const {idempotencyKey} of ofKind(truth, 'call')) {
    const key = String(idempotencyKey);
    runs.set(key, (runs.get(key) ?? 0) + 1);
  }
  return [...runs].filter(([, count]) => count > 1).map(([key]) => key);
}

/** How many results ended in each way, for a printed line. */
export function countEnds(
  results: ReadonlyArray<{end: string; outcome: string; code: string}>,
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const {end, outcome, code} of results) {
    const name = [end, outcome, code].filter(Boolean).join('/');
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}
