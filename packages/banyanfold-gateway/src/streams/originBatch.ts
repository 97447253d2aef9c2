import {createHash} from 'node:crypto';
import {z} from 'zod';
import type {ServiceOrigin} from './originRecords.js';

/** Origins that are appended to the store together. */
export interface OriginBatch {
  /** Unix time of the batch, by the clock of its writer. */
  atMs: number;
  /** In a decoded batch, with digests in place of the request ids. */
  origins: readonly ServiceOrigin[];
}

/** Two of 300,000 streams share a digest with a probability under 1 in 10^8. */
const DIGEST_BYTES = 8;
const DIGEST_PATTERN = new RegExp(`.{${DIGEST_BYTES * 2}}`, 'g');

const batchSchema = z.object({
  atMs: z.number(),
  /** Rows of a service, a version and the digests of streams, in base64. */
  rows: z.array(z.tuple([z.string(), z.string(), z.base64()])),
});

/**
 * Returns the short digest by which a stored batch names a stream.
 *
 * @example originDigest('9c41d07be2a35f68').length // 16
 */
export function originDigest(requestId: string): string {
  return digestBytes(requestId).toString('hex');
}

/**
 * Encodes a batch for the store; a stream takes 11 bytes.
 *
 * @example
 * const origin = {requestId: '9c41d07b', service: 'drafting', version: 'v1'};
 * encodeOriginBatch({atMs: 1_700_000_000_000, origins: [origin]});
 */
export function encodeOriginBatch({atMs, origins}: OriginBatch): Buffer {
  const digestsOf = new Map<string, Buffer[]>();
  for (const {requestId, service, version} of origins) {
    const key = JSON.stringify([service, version]);
    const digests = digestsOf.get(key) ?? [];
    digests.push(digestBytes(requestId));
    digestsOf.set(key, digests);
  }
  const rows = [...digestsOf].map(([key, digests]) => [
    ...(JSON.parse(key) as [string, string]),
    Buffer.concat(digests).toString('base64'),
  ]);
  return Buffer.from(JSON.stringify({atMs, rows}));
}

/** Decodes a stored batch; undefined for bytes of another writer. */
export function decodeOriginBatch(bytes: Buffer): OriginBatch | undefined {
  const batch = parseBatch(bytes);
  if (!batch) return undefined;
  const origins = batch.rows.flatMap(([service, version, text]) => {
    const digests = Buffer.from(text, 'base64').toString('hex');
    const names = digests.match(DIGEST_PATTERN) ?? [];
    return names.map(requestId => ({requestId, service, version}));
  });
  return {atMs: batch.atMs, origins};
}

function digestBytes(requestId: string): Buffer {
  const digest = createHash('sha256').update(requestId).digest();
  return digest.subarray(0, DIGEST_BYTES);
}

function parseBatch(bytes: Buffer): z.infer<typeof batchSchema> | undefined {
  try {
    return batchSchema.safeParse(JSON.parse(bytes.toString('utf8'))).data;
  } catch {
    // Bytes that are not JSON come from another writer.
    return undefined;
  }
}
