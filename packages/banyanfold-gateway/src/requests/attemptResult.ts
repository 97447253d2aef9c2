import type {ResponseHeaders} from '../types.js';
import type {ResponseLimit} from './responseLimits.js';

/** How one attempt to send a request to a runner ended. */
export type AttemptResult =
  | {
      kind: 'delivered';
      status: number;
      isSuccess: boolean;
      firstByteMs: number;
      canReuse: boolean;
      /** It had neither a length nor chunks and ended with its connection. */
      isEndedByClose: boolean;
    }
  /** A complete error response of the runner, not yet sent to the caller. */
  | {kind: 'failed'; status: number; headers: ResponseHeaders; chunks: Buffer[]}
  /** The runner confirmed that it did not run the request. */
  | {
      kind: 'rejected';
      status: number;
      canReuse: boolean;
      fromOtherRunner: boolean;
    }
  /** No connection to the runner was established. */
  | {
      kind: 'unreached';
      error: string;
      /** Nothing listens at the runner's address. */
      isRefused: boolean;
    }
  /** The runner may not be used any more, and nothing was sent. */
  | {kind: 'withdrawn'}
  /** The request may have run, and no complete response arrived. */
  | {
      kind: 'broken';
      error: string;
      /** The runner closed the connection; it may have crashed. */
      isClosedByRunner: boolean;
      /** The limit that the response exceeded, for which it was cut off. */
      limit?: ResponseLimit;
    };

/** How an attempt that was sent, or could not be, ended. */
export type SentResult = Exclude<AttemptResult, {kind: 'withdrawn'}>;

/** The result of an attempt that was cancelled or whose response is invalid. */
export function brokenResult(error: string): AttemptResult {
  return {kind: 'broken', error, isClosedByRunner: false};
}

/** The result of an attempt whose response was cut off at a limit. */
export function limitExceededResult(limit: ResponseLimit): AttemptResult {
  const error = `the response exceeds a limit: ${limit}`;
  return {kind: 'broken', error, isClosedByRunner: false, limit};
}

/** The result of an attempt whose connection the runner closed early. */
export function closedByRunnerResult(error: string): AttemptResult {
  return {kind: 'broken', error, isClosedByRunner: true};
}
