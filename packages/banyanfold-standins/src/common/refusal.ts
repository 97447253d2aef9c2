import {Err, type Result} from 'neverthrow';

/** Instead of an answer: the connection is cut. */
export const CONNECTION_CUT = 0;

/** Why a stand-in gave no good answer. */
export interface Refusal {
  /** The HTTP status, or `CONNECTION_CUT`. */
  status: number;
  /** For example `outage`; goes into the body as `code`. */
  code: string;
  /** Sent as `Retry-After`, rounded up to seconds. */
  retryAfterMs?: number;
  /** Further fields of the body. */
  detail?: Record<string, unknown>;
}

export type Answer<T> = Result<T, Refusal>;

/**
 * Builds a refusal as a result.
 *
 * @example return refuse(503, 'outage')
 */
export function refuse(
  status: number,
  code: string,
  extra: Pick<Refusal, 'retryAfterMs' | 'detail'> = {},
): Err<never, Refusal> {
  return new Err({status, code, ...extra});
}

/**
 * What the caller gets when its answer is lost: a cut connection, or nothing
 * for ever.
 */
export function lostAnswer<T>(hangs: boolean): Promise<Answer<T>> {
  if (hangs) return never();
  return Promise.resolve(refuse(CONNECTION_CUT, 'answer-lost'));
}

/** For an answer that never comes. */
export function never<T>(): Promise<T> {
  return new Promise<T>(() => {});
}
