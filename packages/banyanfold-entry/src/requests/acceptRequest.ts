import type {IncomingMessage} from 'node:http';
import type {CompiledConfig, ResolvedTarget} from '@banyanfold/config';
import {HEADERS} from '@banyanfold/protocol';
import {v4 as uuidV4} from 'uuid';
import type {EntryContext} from '../context.js';
import {ApiError, type ApiErrorCode} from '../http/apiErrors.js';
import type {CallerStream} from '../http/callerStream.js';
import type {CallerSettings} from '../settings.js';
import {prefixHashOf} from './parseRequest.js';
import type {RequestMetadata, RequestJob} from './types.js';

const NOT_READY_RETRY_AFTER_MS = 1000;

const RESOLVE_ERROR_CODES: Record<string, ApiErrorCode> = {
  forbidden: 'not_allowed',
  'unknown-name': 'model_not_found',
  'no-selector': 'model_not_found',
};

/** The attributes of a caller that selectors match. */
export interface CallerIdentity {
  caller: string;
  desk: string;
  headers: Record<string, string>;
}

/** The input of `acceptRequest`. */
export interface AcceptOptions {
  req: IncomingMessage;
  caller: CallerSettings;
  metadata: RequestMetadata;
  path: string;
  body: Buffer;
  callerStream: CallerStream;
  startedMs: number;
}

/**
 * Returns the configuration in force.
 *
 * @throws ApiError `not_ready` while none is known.
 */
export function requireConfig(context: EntryContext): CompiledConfig {
  const {configWatch} = context;
  if (configWatch.current && configWatch.ready) return configWatch.current;
  throw new ApiError('not_ready', 'no configuration is known here yet', {
    retryAfterMs: NOT_READY_RETRY_AFTER_MS,
  });
}

/**
 * Returns the caller and desk of a call, and its headers without the key.
 *
 * The desk determines selectors and priority, so a caller may name only a desk
 * that its settings list. Otherwise any key could use another desk's models at
 * that desk's priority.
 *
 * @throws ApiError `not_allowed` for any other desk.
 */
export function identifyCaller(
  req: IncomingMessage,
  caller: CallerSettings,
): CallerIdentity {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(req.headers)) {
    if (name !== 'authorization' && typeof value === 'string') {
      headers[name] = value;
    }
  }
  const desk = headers[HEADERS.desk] ?? caller.desk;
  if (desk !== caller.desk && !caller.otherDesks.includes(desk)) {
    throw new ApiError(
      'not_allowed',
      `the key may not ask for the desk "${desk}"; its settings list those ` +
        'it may name',
    );
  }
  return {caller: caller.name, desk, headers};
}

/**
 * Resolves a request to its target and sets its deadlines.
 *
 * @throws ApiError `not_ready`, `not_allowed` or `model_not_found`.
 */
export function acceptRequest(
  context: EntryContext,
  options: AcceptOptions,
): RequestJob {
  const {req, caller, metadata, path, body, callerStream, startedMs} = options;
  const identity = identifyCaller(req, caller);
  const target = resolveTarget(requireConfig(context), identity, metadata);
  const {targets, repeatable} = target.selector;
  return {
    requestId: uuidV4(),
    caller: identity.caller,
    desk: identity.desk,
    target,
    metadata,
    prefixHash: prefixHashOf(target.artifact, metadata.prefixText),
    path,
    contentType: req.headers['content-type'] ?? 'application/json',
    body,
    idempotencyKey: identity.headers[HEADERS.idempotencyKey],
    startedMs,
    firstTokenDeadlineMs: startedMs + targets.firstTokenMs,
    wholeDeadlineMs: startedMs + targets.wholeAnswerMs,
    callerStream,
    signal: repeatable ? callerStream.signal : new AbortController().signal,
    attempts: 0,
  };
}

function resolveTarget(
  config: CompiledConfig,
  identity: CallerIdentity,
  {requestedName, isService}: RequestMetadata,
): ResolvedTarget {
  const resolved = config.resolve({...identity, requestedName});
  if (resolved.isErr()) {
    const {code, message} = resolved.error;
    throw new ApiError(RESOLVE_ERROR_CODES[code] ?? 'internal', message);
  }
  const target = resolved.value;
  if ((target.kind === 'service') !== isService) {
    const wanted = isService ? 'service' : 'model';
    throw new ApiError(
      'model_not_found',
      `"${requestedName}" is a ${target.kind} and no ${wanted}`,
    );
  }
  return target;
}
