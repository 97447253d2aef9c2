import type {ResolvedTarget} from '@banyanfold/config';
import type {ApiError} from '../http/apiErrors.js';
import type {CallerStream} from '../http/callerStream.js';

/** The properties of a request that routing and admission need. */
export interface RequestMetadata {
  /** Whether the call is to a service; the name must be of the same kind. */
  isService: boolean;
  requestedName: string;
  stream: boolean;
  promptTokens: number;
  maxTokens: number;
  /** The first cache block of the prompt, which engines may have cached. */
  prefixText: string;
}

/** A request that was admitted and resolved to a target. */
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
  /** Receives a streamed answer. */
  callerStream: CallerStream;
  /**
   * Aborted when the caller disconnects. Never aborted for a request that may
   * not be repeated: it runs to completion, so that its outcome is available to
   * a later call with the same idempotency key.
   */
  signal: AbortSignal;
  /** The number of attempts sent, for the log. */
  attempts: number;
}

/** A complete answer that is not yet sent to the caller. */
export interface WholeAnswer {
  status: number;
  headers: Record<string, string>;
  body: Buffer;
}

/** How a request ended. */
export type RequestResult =
  | {kind: 'answer'; answer: WholeAnswer}
  /** Completely streamed to the caller. */
  | {kind: 'streamed'}
  /** Failed before anything was sent to the caller. */
  | {kind: 'failed'; error: ApiError}
  /** Broken after the first byte; the caller gets an error and no clean end. */
  | {kind: 'broken'; reason: string}
  | {kind: 'caller-gone'};
