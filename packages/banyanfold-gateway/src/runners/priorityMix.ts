/** Factor by which the recorded work decays with each request. */
const DECAY_FACTOR = 0.98;

/** Distribution of the arriving work over priorities. */
export class PriorityMix {
  private readonly byPriority = new Map<number, number>();

  record(priority: number, work: number): void {
    for (const [recorded, sum] of this.byPriority) {
      this.byPriority.set(recorded, sum * DECAY_FACTOR);
    }
    const sum = this.byPriority.get(priority) ?? 0;
    this.byPriority.set(priority, sum + work);
  }

  /**
   * Share of the work that is at least as urgent as a priority; 1 before any
   * work is recorded.
   */
  shareAtLeastAsUrgent(priority: number): number {
    let total = 0;
    let ahead = 0;
    for (const [known, sum] of this.byPriority) {
      total += sum;
      if (known <= priority) ahead += sum;
    }
    return total > 0 ? ahead / total : 1;
  }
}
