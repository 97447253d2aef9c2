import type {Allocation} from './allocation.js';

/**
 * Returns the id of an adapter's base model, or the id itself for a model.
 *
 * @example baseModelOf('claims@3+suva@1') // 'claims@3'
 */
export function baseModelOf(artifact: string): string {
  return artifact.split('+')[0] ?? artifact;
}

/** The allocations of one engine, indexed by artifact. */
export class AllocationTable {
  private readonly allocations = new Map<string, Allocation>();

  get(artifact: string): Allocation | undefined {
    return this.allocations.get(artifact);
  }

  set(allocation: Allocation): void {
    this.allocations.set(allocation.artifact, allocation);
  }

  delete(artifact: string): void {
    this.allocations.delete(artifact);
  }

  all(): Allocation[] {
    return [...this.allocations.values()];
  }

  findByCopyId(copyId: string): Allocation | undefined {
    return this.all().find(allocation => allocation.copyId === copyId);
  }

  findByUnloadOrderId(orderId: string): Allocation | undefined {
    return this.all().find(({unloadOrderId}) => unloadOrderId === orderId);
  }

  /**
   * Returns the allocations whose load order may still reach the engine, and
   * for which no report can yet prove that it won't.
   */
  loadsInDoubt(): Allocation[] {
    return this.all().filter(
      ({state, conclusiveAfterMs}) =>
        state === 'in-doubt' && conclusiveAfterMs === undefined,
    );
  }

  weightBytes(): number {
    let total = 0;
    for (const {bytes} of this.allocations.values()) total += bytes;
    return total;
  }

  /** Whether the artifact, and an adapter's base model, accept requests. */
  canServe(artifact: string): boolean {
    return requiredArtifacts(artifact).every(needed => {
      const allocation = this.allocations.get(needed);
      return allocation?.state === 'held' && !allocation.isRetiring;
    });
  }

  /** Adds to the active requests of an artifact and of its base model. */
  updateUse(artifact: string, change: 1 | -1, nowMs: number): void {
    for (const needed of requiredArtifacts(artifact)) {
      const allocation = this.allocations.get(needed);
      if (!allocation) continue;
      allocation.activeRequests = Math.max(
        0,
        allocation.activeRequests + change,
      );
      allocation.lastUsedAtMs = nowMs;
    }
  }
}

/** Returns the artifact and, for an adapter, its base model. */
function requiredArtifacts(artifact: string): string[] {
  const model = baseModelOf(artifact);
  return model === artifact ? [artifact] : [artifact, model];
}
