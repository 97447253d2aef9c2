import type {IncomingMessage} from 'node:http';
import {ApiError} from './apiErrors.js';

/**
 * Reads a whole request body.
 *
 * @throws ApiError `body_too_large` as soon as the limit is exceeded, or
 *     `invalid_request` if the body ends early.
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

/** Reports a disconnect within the body as the caller's error, not ours. */
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
