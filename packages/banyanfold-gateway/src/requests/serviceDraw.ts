import {createHash} from 'node:crypto';
import type {InferenceRequest, RoutePolicy} from '../types.js';

const UINT32_RANGE = 2 ** 32;

/**
 * Returns the number, uniform in [0, 1), by which the service of a request is
 * picked. For a stream it follows from the id of the request that began it: on a
 * route that is split between services, a stream that is taken up at any entry
 * goes to the service that began it.
 *
 * @example drawOf(route, {...request, resumedRequestId: '9c41'}, Math.random)
 */
export function drawOf(
  route: Pick<RoutePolicy, 'kind' | 'services'>,
  request: Pick<InferenceRequest, 'requestId' | 'resumedRequestId'>,
  random: () => number,
): number {
  const streamId = request.resumedRequestId ?? request.requestId;
  const isSplitStream = route.kind === 'streaming' && route.services.length > 1;
  if (!isSplitStream || streamId === undefined) return random();
  const digest = createHash('sha256').update(streamId).digest();
  return digest.readUInt32BE(0) / UINT32_RANGE;
}
