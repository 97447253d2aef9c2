import {createHash} from 'node:crypto';

const HASH_LENGTH = 16;
const CHARS_PER_TOKEN = 4;

export interface PrefixCacheOptions {
  capacityBytes: number;
  blockTokens: number;
  bytesPerToken: number;
  onChange: (change: {
    kind: 'stored' | 'evicted';
    prefixHash: string;
    artifact: string;
  }) => void;
}

/**
 * The hashes of a prompt's prefixes, one for each whole block. Each covers
 * everything from the start of the prompt to the end of its block.
 *
 * @example prefixHashes('claims@3', prompt, 256)
 */
export function prefixHashes(
  artifact: string,
  prompt: string,
  blockTokens: number,
): string[] {
  const blockChars = blockTokens * CHARS_PER_TOKEN;
  const running = createHash('sha256').update(`${artifact}\n`);
  const hashes: string[] = [];
  for (let end = blockChars; end <= prompt.length; end += blockChars) {
    running.update(prompt.slice(end - blockChars, end));
    hashes.push(running.copy().digest('hex').slice(0, HASH_LENGTH));
  }
  return hashes;
}

/** The engine's cache of prompt prefixes; the least recently used go first. */
export class PrefixCache {
  /** Artifact by hash, the least recently used first. */
  private readonly blocks = new Map<string, string>();
  private readonly maxBlocks: number;

  constructor(private readonly options: PrefixCacheOptions) {
    const blockBytes = options.blockTokens * options.bytesPerToken;
    this.maxBlocks = Math.floor(options.capacityBytes / blockBytes);
  }

  get usedBytes(): number {
    const {blockTokens, bytesPerToken} = this.options;
    return this.blocks.size * blockTokens * bytesPerToken;
  }

  /** @returns how many of the prompt's first tokens are cached. */
  lookUp(artifact: string, prompt: string): number {
    let cachedTokens = 0;
    for (const hash of this.hashes(artifact, prompt)) {
      if (!this.blocks.has(hash)) break;
      this.touch(hash, artifact);
      cachedTokens += this.options.blockTokens;
    }
    return cachedTokens;
  }

  store(artifact: string, prompt: string): void {
    for (const hash of this.hashes(artifact, prompt)) {
      const isNew = !this.blocks.has(hash);
      this.touch(hash, artifact);
      if (isNew) {
        this.options.onChange({kind: 'stored', prefixHash: hash, artifact});
      }
    }
    this.evictOverflow();
  }

  /** Forgets what belongs to an artifact that was unloaded. */
  dropArtifact(artifact: string): void {
    for (const [hash, owner] of this.blocks) {
      if (owner === artifact) this.evict(hash, owner);
    }
  }

  private hashes(artifact: string, prompt: string): string[] {
    const {blockTokens} = this.options;
    const hashes = prefixHashes(artifact, prompt, blockTokens);
    return hashes.slice(0, this.maxBlocks);
  }

  private touch(hash: string, artifact: string): void {
    this.blocks.delete(hash);
    this.blocks.set(hash, artifact);
  }

  private evictOverflow(): void {
    for (const [hash, artifact] of this.blocks) {
      if (this.blocks.size <= this.maxBlocks) return;
      this.evict(hash, artifact);
    }
  }

  private evict(hash: string, artifact: string): void {
    this.blocks.delete(hash);
    this.options.onChange({kind: 'evicted', prefixHash: hash, artifact});
  }
}
