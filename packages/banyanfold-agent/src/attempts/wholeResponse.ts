import {readBody, type BodyLimits} from '@banyanfold/core';
import type {EngineResponse} from '../engine/engineClient.js';
import {toCallerId} from '../engine/streamVerifier.js';

/**
 * Reads the whole body; undefined if any of it is missing or it exceeds a limit.
 */
export async function readWholeBody(
  response: EngineResponse,
  limits: BodyLimits,
): Promise<Buffer | undefined> {
  try {
    const body = await readBody(response.body, limits);
    const declaredLength = response.headers['content-length'];
    const isTruncated =
      declaredLength !== undefined && Number(declaredLength) !== body.length;
    return isTruncated ? undefined : body;
  } catch {
    return undefined;
  }
}

/**
 * Replaces the engine's id in a response by the caller's. Returns undefined if
 * the response is not a JSON object or carries the id of another request.
 */
export function replaceResponseId(
  body: Buffer,
  ids: {engineRequestId: string; callerRequestId: string},
): Buffer | undefined {
  const parsed = parseJsonObject(body);
  const id = toCallerId(parsed?.['id'], ids);
  if (!parsed || id === undefined) return undefined;
  return Buffer.from(JSON.stringify({...parsed, id}));
}

/** Parses a body as a JSON object; undefined if it isn't one. */
export function parseJsonObject(
  body: Buffer,
): Record<string, unknown> | undefined {
  try {
    const parsed: unknown = JSON.parse(body.toString('utf8'));
    const isObject =
      typeof parsed === 'object' && parsed !== null && !Array.isArray(parsed);
    return isObject ? (parsed as Record<string, unknown>) : undefined;
  } catch {
    return undefined;
  }
}
