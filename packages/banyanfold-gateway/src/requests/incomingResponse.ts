import type {GatewayContext} from '../context.js';
import type {DecodedRequest, ResponseInfo, RoutePolicy} from '../types.js';
import type {ResponseHead} from './attempt.js';
import {framingOf, type Framing} from './responseFraming.js';

/** A response that is being received from a runner. */
export interface IncomingResponse {
  head: ResponseHead;
  info: ResponseInfo;
  framing: Framing;
  /** Forwarded event by event; otherwise buffered until it is complete. */
  isStreamed: boolean;
  chunks: Buffer[];
  bufferedBytes: number;
  firstByteMs: number;
}

export interface DecodeHeadOptions {
  context: GatewayContext;
  route: RoutePolicy;
  runnerId: string;
  /** When the request was sent, in ms of the clock. */
  sentMs: number;
}

export function decodeHead(
  head: ResponseHead,
  {context, route, runnerId, sentMs}: DecodeHeadOptions,
): IncomingResponse {
  const {status, headers} = head;
  const info = context.codec.decodeResponse(status, headers, runnerId);
  const isSuccess = status < 300 && info.signed;
  return {
    head,
    info,
    framing: framingOf(headers),
    isStreamed: route.kind === 'streaming' && isSuccess,
    chunks: [],
    bufferedBytes: 0,
    firstByteMs: context.clock.nowMs() - sentMs,
  };
}

/** Whose request id a response bears. */
export type NamedRequest = 'own' | 'other' | 'none';

/**
 * Tells whose id a response bears that arrived while a request was waiting.
 *
 * @example namedRequestOf({requestId: 'r1', ...info}, 'r1') // 'own'
 */
export function namedRequestOf(
  {requestId}: ResponseInfo,
  waitingRequestId: string | undefined,
): NamedRequest {
  if (requestId === undefined) return 'none';
  return requestId === waitingRequestId ? 'own' : 'other';
}

/** HTTP defines no status above this one. */
const MAX_STATUS = 599;

/** Why a response can't be forwarded, by its head; undefined if it can. */
export function integrityErrorOf(
  {head, info}: Pick<IncomingResponse, 'head' | 'info'>,
  {request}: DecodedRequest,
): string | undefined {
  if (head.status > MAX_STATUS) return `invalid status ${head.status}`;
  if (namedRequestOf(info, request.requestId) === 'other') {
    return 'response belongs to another request';
  }
  return info.encoded ? 'response body was re-encoded in transit' : undefined;
}

export interface AttributionOptions {
  /** Whether the connection has carried another request before. */
  isReused: boolean;
  runsOnce: boolean;
}

/**
 * Whether a response may be the answer to an earlier request of its connection.
 * A rejection is then believed only if the request may run again, since the
 * runner may be running it.
 */
export function isUnattributed(
  {requestId, notExecuted}: ResponseInfo,
  {isReused, runsOnce}: AttributionOptions,
): boolean {
  if (!isReused || requestId !== undefined) return false;
  return runsOnce || !notExecuted;
}

/**
 * Whether its connection can carry another request. A second copy of a response
 * without a request id could not be told from the answer to that request.
 */
export function isReusable({head, info, framing}: IncomingResponse): boolean {
  if (info.requestId === undefined) return false;
  const connection = String(head.headers['connection'] ?? '').toLowerCase();
  return framing !== 'until-close' && !connection.includes('close');
}
