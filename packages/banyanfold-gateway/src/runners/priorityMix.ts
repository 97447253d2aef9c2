/** Of what arrived before, this share still counts after each request. */
const DECAY_FACTOR = 0.98;

/** How the work that arrives is spread over priorities. */
export class PriorityMix {
  private readonly byPriority = new Map<number, number>();

  record(priority: number, work: number): void {
    for (const [known, sum] of this.byPriority) {
      this.byPriority.set(known, sum * DECAY_FACTOR);
    }
    const sum = this.byPriority.get(priority) ?? 0;
    this.byPriority.set(priority, sum + work);
  }

  /** Share of the work that is no less urgent; 1 before any came. */
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
