import type {IncomingMessage} from 'node:http';
import {ApiError} from './apiErrors.js';

/**
 * Reads a caller's whole body.
 *
 * @throws ApiError `body_too_large` as soon as the limit is passed.
 */
export async function readBody(
  req: IncomingMessage,
  limitBytes: number,
): Promise<Buffer> {
  const declaredBytes = Number(req.headers['content-length'] ?? 0);
  if (declaredBytes > limitBytes) throw bodyTooLargeError(limitBytes);
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  for await (const chunk of readChunks(req)) {
    sizeBytes += chunk.length;
    if (sizeBytes > limitBytes) throw bodyTooLargeError(limitBytes);
    chunks.push(chunk);
  }
  return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
}

/** A caller that goes away in its body is no error of ours. */
async function* readChunks(req: IncomingMessage): AsyncIterable<Buffer> {
  try {
    yield* req as AsyncIterable<Buffer>;
  } catch {
    throw new ApiError('invalid_request', 'the body broke off');
  }
}

function bodyTooLargeError(limitBytes: number): ApiError {
  return new ApiError(
    'body_too_large',
    `the body is larger than ${limitBytes} bytes; send a shorter one`,
  );
}
