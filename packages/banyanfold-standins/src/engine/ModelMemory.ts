import type {TruthRecord} from '../common/truth.js';

export type ModelState = 'loading' | 'loaded' | 'unloading';

export interface HeldModel {
  artifact: string;
  bytes: number;
  state: ModelState;
}

export interface ModelMemoryOptions {
  capacityBytes: number;
  /** Whether memory that does not exist may be committed now. */
  isUnprotected: () => boolean;
  onChange: () => void;
}

/** The accelerator memory that models and adapters really take. */
export class ModelMemory {
  private readonly models = new Map<string, HeldModel>();
  private copies: readonly HeldModel[] | undefined;
  private committed = 0;
  private highest = 0;

  constructor(
    private readonly options: ModelMemoryOptions,
    private readonly truth: TruthRecord,
  ) {}

  get committedBytes(): number {
    return this.committed;
  }

  get highestCommittedBytes(): number {
    return this.highest;
  }

  get(artifact: string): HeldModel | undefined {
    return this.models.get(artifact);
  }

  /** A copy that later changes leave alone; the same one until a change. */
  list(): readonly HeldModel[] {
    this.copies ??= [...this.models.values()].map(model => ({...model}));
    return this.copies;
  }

  /** Takes memory for an artifact; false when there is not enough. */
  commit(artifact: string, bytes: number, state: ModelState): boolean {
    const wantedBytes = this.committed + bytes;
    const {capacityBytes} = this.options;
    if (wantedBytes > capacityBytes) {
      const refused = !this.options.isUnprotected();
      const fields = {artifact, wantedBytes, capacityBytes, refused};
      this.truth.add('over-commit', fields);
      if (refused) return false;
    }
    this.models.set(artifact, {artifact, bytes, state});
    this.committed = wantedBytes;
    this.recordHighest();
    this.changed();
    return true;
  }

  setState(artifact: string, state: ModelState): void {
    const model = this.models.get(artifact);
    if (!model) return;
    model.state = state;
    this.truth.add(`model-${state}`, {artifact});
    this.changed();
  }

  release(artifact: string): void {
    const model = this.models.get(artifact);
    if (!model) return;
    this.models.delete(artifact);
    this.committed -= model.bytes;
    this.truth.add('model-released', {artifact, bytes: model.bytes});
    this.changed();
  }

  private changed(): void {
    this.copies = undefined;
    this.options.onChange();
  }

  private recordHighest(): void {
    if (this.committed <= this.highest) return;
    this.highest = this.committed;
    this.truth.add('highest-committed', {bytes: this.highest});
  }
}
