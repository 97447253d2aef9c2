import type {IncomingMessage} from 'node:http';

/**
 * Reads a whole body. Undefined when it is longer than allowed or broken off;
 * the rest isn't read then.
 */
export async function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Buffer | undefined> {
  const parts: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const part of req) {
      bytes += (part as Buffer).length;
      if (bytes > maxBytes) return undefined;
      parts.push(part as Buffer);
    }
    return req.complete ? Buffer.concat(parts) : undefined;
  } catch {
    return undefined;
  }
}
