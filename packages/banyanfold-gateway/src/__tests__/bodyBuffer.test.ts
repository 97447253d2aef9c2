import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {BlockPool, POOLED_BLOCK_BYTES} from '../requests/blockPool.js';
import {BodyBuffer} from '../requests/bodyBuffer.js';

/** The first block; a body that small may take this much. */
const FIRST_BLOCK_BYTES = 1_024;

function gather(chunks: Buffer[], announcedBytes?: number) {
  let heldBytes = 0;
  const buffer = new BodyBuffer({
    pool: new BlockPool(),
    announcedBytes,
    addBlock: bytes => {
      heldBytes += bytes;
      return true;
    },
  });
  for (const chunk of chunks) expect(buffer.append(chunk)).toBe(true);
  return {body: buffer.take(), heldBytes};
}

describe('BodyBuffer', () => {
  // Guards against bodies of small chunks that take many times their length.
  it('takes no more than twice the length of any body', () => {
    const chunks = fc.array(fc.uint8Array({minLength: 1, maxLength: 3_000}));
    fc.assert(
      fc.property(chunks, fc.boolean(), (arrays, isAnnounced) => {
        const parts = arrays.map(array => Buffer.from(array));
        const sent = Buffer.concat(parts);
        const announced = isAnnounced ? sent.length : undefined;
        const {body, heldBytes} = gather(parts, announced);
        expect(body.equals(sent)).toBe(true);
        const maxBytes = isAnnounced ? sent.length : 2 * sent.length;
        expect(heldBytes).toBeLessThanOrEqual(maxBytes + FIRST_BLOCK_BYTES);
      }),
    );
  });

  // Guards against callers that announce much and send nothing.
  it('takes no memory for what is only announced', () => {
    const {heldBytes} = gather([Buffer.from('a')], 4_000_000);
    expect(heldBytes).toBeLessThanOrEqual(FIRST_BLOCK_BYTES);
  });

  it('refuses a chunk that there is no memory for', () => {
    const buffer = new BodyBuffer({
      pool: new BlockPool(),
      addBlock: () => false,
    });
    expect(buffer.append(Buffer.from('a'))).toBe(false);
  });

  // Guards against memory that is left to the collector by each body.
  it('uses the blocks of bodies that were given up', () => {
    const pool = new BlockPool();
    const body = Buffer.alloc(4 * POOLED_BLOCK_BYTES, 'a');
    const gatherAll = (fill: string) => {
      const buffer = new BodyBuffer({pool, addBlock: () => true});
      buffer.append(body.fill(fill));
      return buffer;
    };
    const first = gatherAll('a');
    first.clear();
    const block = pool.take(POOLED_BLOCK_BYTES);
    expect(block[0]).toBe('a'.charCodeAt(0));
    pool.giveBack([block]);
    const second = gatherAll('b').take();
    gatherAll('c').clear();
    expect(second.equals(Buffer.alloc(body.length, 'b'))).toBe(true);
  });
});
