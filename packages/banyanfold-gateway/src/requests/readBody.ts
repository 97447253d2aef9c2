import type {IncomingMessage} from 'node:http';

/** Why a request body could not be read. */
export type BodyReadError = 'too-large' | 'no-memory' | 'broken-off';

export interface ReadBodyOptions {
  maxBytes: number;
  /** Returns false if there is no memory for that many more bytes. */
  addBytes?: (bytes: number) => boolean;
}

/** Buffers the complete request body, so that an attempt can be retried. */
export function readBody(
  request: IncomingMessage,
  {maxBytes, addBytes = () => true}: ReadBodyOptions,
): Promise<Buffer | BodyReadError> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const addChunk = (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maxBytes) {
        request.pause();
        resolve('too-large');
        return;
      }
      if (!addBytes(chunk.length)) {
        // What follows is discarded, so that the caller reads the refusal.
        request.off('data', addChunk);
        chunks.length = 0;
        resolve('no-memory');
        return;
      }
      chunks.push(chunk);
    };
    request.on('data', addChunk);
    request.once('end', () => resolve(Buffer.concat(chunks)));
    request.once('error', () => resolve('broken-off'));
    request.once('close', () => resolve('broken-off'));
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
