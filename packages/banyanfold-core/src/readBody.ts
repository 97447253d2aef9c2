import type {Readable} from 'node:stream';
import type {Clock} from './clock.js';

export interface BodyLimits {
  clock: Clock;
  maxBytes: number;
  /** Time from the call until the end of the body. */
  timeoutMs: number;
}

/** A body that is longer, or takes longer, than its reader allows. */
export class BodyLimitError extends Error {
  /** @param limit what the body exceeds. */
  constructor(readonly limit: 'bytes' | 'time') {
    super(`the body exceeds its limit: ${limit}`);
    this.name = 'BodyLimitError';
  }
}

/**
 * Reads a whole body. One that exceeds a limit is given up, and its connection
 * is closed.
 *
 * @throws BodyLimitError, or the error of a body that breaks off.
 * @example
 * await readBody(response.body, {clock, maxBytes: 65_536, timeoutMs: 1_000})
 */
export async function readBody(
  body: Readable,
  {clock, maxBytes, timeoutMs}: BodyLimits,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  const timer = clock.setTimer(timeoutMs, () =>
    body.destroy(new BodyLimitError('time')),
  );
  try {
    for await (const chunk of body as AsyncIterable<Buffer>) {
      bytes += chunk.length;
      if (bytes > maxBytes) throw new BodyLimitError('bytes');
      chunks.push(chunk);
    }
  } finally {
    timer.cancel();
  }
  return Buffer.concat(chunks);
}

/** Reads a whole body as `readBody` does, and parses it as JSON. */
export async function readJsonBody(
  body: Readable,
  limits: BodyLimits,
): Promise<unknown> {
  return JSON.parse((await readBody(body, limits)).toString('utf8')) as unknown;
}
