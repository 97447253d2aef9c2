import {POOLED_BLOCK_BYTES, type BlockPool} from './blockPool.js';

/** Room for the first bytes of a body whose length is not announced. */
const FIRST_BLOCK_BYTES = 1_024;
const MAX_BLOCK_BYTES = POOLED_BLOCK_BYTES;

export interface BodyBufferOptions {
  pool: BlockPool;
  /** Length that the head announces; undefined if it announces none. */
  announcedBytes?: number;
  /** Returns false if there is no memory for a block of that many bytes. */
  addBlock(bytes: number): boolean;
}

/**
 * Gathers the chunks of a body in blocks. A chunk that is kept as it was read
 * takes some hundred bytes by itself and keeps all that was read with it, so a
 * body of small chunks would take many times its length.
 *
 * @example
 * const buffer = new BodyBuffer({pool: new BlockPool(), addBlock: () => true});
 * buffer.append(Buffer.from('a'));
 * buffer.take(); // <Buffer 61>
 */
export class BodyBuffer {
  private blocks: Buffer[] = [];
  /** Bytes used of the last block. */
  private usedBytes = 0;
  private lengthBytes = 0;

  constructor(private readonly options: BodyBufferOptions) {}

  get length(): number {
    return this.lengthBytes;
  }

  /** Returns false if the memory for the chunk isn't available. */
  append(chunk: Buffer): boolean {
    let from = 0;
    while (from < chunk.length) {
      const block = this.blockWithRoom(chunk.length - from);
      if (!block) return false;
      const copied = chunk.copy(block, this.usedBytes, from);
      this.usedBytes += copied;
      this.lengthBytes += copied;
      from += copied;
    }
    return true;
  }

  /** Returns what was gathered, and keeps nothing of it. */
  take(): Buffer {
    const {blocks, lengthBytes} = this;
    const [first] = blocks;
    if (blocks.length === 1) {
      this.blocks = [];
      return first!.subarray(0, lengthBytes);
    }
    const body = Buffer.concat(blocks, lengthBytes);
    this.clear();
    return body;
  }

  /** Gives up what was gathered. */
  clear(): void {
    this.options.pool.giveBack(this.blocks);
    this.blocks = [];
    this.usedBytes = 0;
    this.lengthBytes = 0;
  }

  private blockWithRoom(wantedBytes: number): Buffer | undefined {
    const last = this.blocks.at(-1);
    if (last && this.usedBytes < last.length) return last;
    const bytes = this.nextBlockBytes(wantedBytes);
    if (!this.options.addBlock(bytes)) return undefined;
    const block = this.options.pool.take(bytes);
    this.blocks.push(block);
    this.usedBytes = 0;
    return block;
  }

  /** A block is no larger than what has arrived, so that promises cost nothing. */
  private nextBlockBytes(wantedBytes: number): number {
    const {announcedBytes = Infinity} = this.options;
    const leftBytes = announcedBytes - this.lengthBytes;
    const doubledBytes = Math.max(FIRST_BLOCK_BYTES, this.lengthBytes);
    const bytes = Math.max(wantedBytes, Math.min(doubledBytes, leftBytes));
    return Math.min(bytes, MAX_BLOCK_BYTES);
  }
}
