import type {IncomingMessage} from 'node:http';

/** Why a request body could not be read. */
export type BodyReadError = 'too-large' | 'broken-off';

/** Buffers the complete request body, so that an attempt can be retried. */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Buffer | BodyReadError> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maxBytes) {
        request.pause();
        resolve('too-large');
        return;
      }
      chunks.push(chunk);
    });
    request.once('end', () => resolve(Buffer.concat(chunks)));
    request.once('error', () => resolve('broken-off'));
    request.once('close', () => resolve('broken-off'));
  });
}
