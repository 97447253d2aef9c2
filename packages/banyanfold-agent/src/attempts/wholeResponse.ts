import type {EngineResponse} from '../engine/engineClient.js';
import {toCallerId} from '../engine/streamVerifier.js';

/** The whole body, or undefined when any of it is missing. */
export async function readWholeBody(
  response: EngineResponse,
): Promise<Buffer | undefined> {
  try {
    const body = Buffer.from(await response.body.arrayBuffer());
    const stated = response.headers['content-length'];
    const isShort = stated !== undefined && Number(stated) !== body.length;
    return isShort ? undefined : body;
  } catch {
    return undefined;
  }
}

/**
 * Puts the caller's id into an answer; undefined for an answer that is no JSON
 * object or bears the id of another request.
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

/** The JSON object in a body, or undefined. */
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
