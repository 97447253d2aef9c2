import type {IncomingMessage} from 'node:http';

/**
 * Reads a request body. Returns undefined, without reading the rest, if the
 * body is longer than `maxBytes` or incomplete.
 */
export async function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of req) {
      bytes += (chunk as Buffer).length;
      if (bytes > maxBytes) return undefined;
      chunks.push(chunk as Buffer);
    }
    return req.complete ? Buffer.concat(chunks) : undefined;
  } catch {
    return undefined;
  }
}
