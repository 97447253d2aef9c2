import type {IncomingMessage} from 'node:http';
import type {BlockPool} from './blockPool.js';
import {BodyBuffer} from './bodyBuffer.js';

/** Why a request body could not be read. */
export type BodyReadError = 'too-large' | 'no-memory' | 'broken-off';

export interface ReadBodyOptions {
  maxBytes: number;
  pool: BlockPool;
  /** Returns false if there is no memory for that many more bytes. */
  addBytes?: (bytes: number) => boolean;
}

/** Buffers the complete request body, so that an attempt can be retried. */
export function readBody(
  request: IncomingMessage,
  {maxBytes, pool, addBytes = () => true}: ReadBodyOptions,
): Promise<Buffer | BodyReadError> {
  return new Promise(resolve => {
    const body = new BodyBuffer({
      pool,
      announcedBytes: announcedBytes(request) || undefined,
      addBlock: addBytes,
    });
    // What follows is discarded, so that the caller reads the refusal.
    const giveUp = (error: BodyReadError) => {
      request.off('data', addChunk);
      body.clear();
      resolve(error);
    };
    const addChunk = (chunk: Buffer) => {
      if (body.length + chunk.length > maxBytes) giveUp('too-large');
      else if (!body.append(chunk)) giveUp('no-memory');
    };
    request.on('data', addChunk);
    request.once('end', () => resolve(body.take()));
    request.once('error', () => giveUp('broken-off'));
    request.once('close', () => giveUp('broken-off'));
  });
}

/** Length of the request body that the head states; 0 if it states none. */
export function announcedBytes({headers}: IncomingMessage): number {
  return Number(headers['content-length'] ?? 0);
}

/** Whether the request has a body whose length the head does not state. */
export function hasUnknownLength({headers}: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined;
}
