import type {ResolvedTarget} from '@banyanfold/config';
import type {ApiError} from '../http/apiErrors.js';
import type {CallerStream} from '../http/callerStream.js';

/** What of a request's body routing and admission need. */
export interface RequestMetadata {
  /** Which kind of call it is; a name of the other kind isn't found. */
  isService: boolean;
  requestedName: string;
  stream: boolean;
  promptTokens: number;
  maxTokens: number;
  /** The first part of the prompt, which engines may have cached. */
  prefixText: string;
}

/** A request that was let in and resolved. */
export interface RequestJob {
  requestId: string;
  caller: string;
  desk: string;
  target: ResolvedTarget;
  metadata: RequestMetadata;
  prefixHash: string;
  /** `v1/chat/completions`, or `services/{service}/{path…}`. */
  path: string;
  contentType: string;
  body: Buffer;
  idempotencyKey: string | undefined;
  startedMs: number;
  firstTokenDeadlineMs: number;
  wholeDeadlineMs: number;
  /** Where a streamed answer goes. */
  callerStream: CallerStream;
  /**
   * Aborted when the caller goes away. Not so for one that may not be
   * repeated: it runs to its end, so that its outcome is there for the call
   * that comes back with the same key.
   */
  signal: AbortSignal;
  /** Attempts that were dispatched, for the log line. */
  attempts: number;
}

/** A whole answer, not yet sent. */
export interface WholeAnswer {
  status: number;
  headers: Record<string, string>;
  body: Buffer;
}

/** How a request ended. */
export type RequestResult =
  | {kind: 'answer'; answer: WholeAnswer}
  /** Streamed to the caller to its end. */
  | {kind: 'streamed'}
  /** Nothing was sent to the caller yet. */
  | {kind: 'failed'; error: ApiError}
  /** Broken after the first byte; the caller sees an error and a broken end. */
  | {kind: 'broken'; reason: string}
  | {kind: 'caller-gone'};
