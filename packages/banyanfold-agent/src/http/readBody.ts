import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';

/** Why a request body could not be read. */
export type BodyError = 'too-large' | 'incomplete';

/**
 * Reads a request body. The rest of a body that is longer than `maxBytes` is
 * not read.
 *
 * @example (await readBody(req, 1_048_576)).map(bytes => bytes.length)
 */
export async function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, BodyError>> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of req) {
      bytes += (chunk as Buffer).length;
      if (bytes > maxBytes) return err('too-large');
      chunks.push(chunk as Buffer);
    }
    return req.complete ? ok(Buffer.concat(chunks)) : err('incomplete');
  } catch {
    return err('incomplete');
  }
}
