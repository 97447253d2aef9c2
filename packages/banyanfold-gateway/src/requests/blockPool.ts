/** Size of the blocks that are pooled. */
export const POOLED_BLOCK_BYTES = 65_536;

/**
 * Blocks of memory for request bodies that were given up, for the next ones.
 * Blocks that are left to the garbage collector take memory until it runs, so
 * that bodies which come and go would take several times what is held of them.
 */
export class BlockPool {
  private free: Buffer[] = [];

  /** Returns a block with any content. */
  take(bytes: number): Buffer {
    const pooled = bytes === POOLED_BLOCK_BYTES ? this.free.pop() : undefined;
    return pooled ?? Buffer.allocUnsafeSlow(bytes);
  }

  /** To be called for blocks that nothing refers to any more. */
  giveBack(blocks: readonly Buffer[]): void {
    for (const block of blocks) {
      if (block.length === POOLED_BLOCK_BYTES) this.free.push(block);
    }
  }

  /** Leaves half of the free blocks to the garbage collector. */
  shrink(): void {
    this.free = this.free.slice(Math.ceil(this.free.length / 2));
  }
}
