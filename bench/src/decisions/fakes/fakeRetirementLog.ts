/** The `retirements` stream: judges each record in the order of appends. */
export class FakeRetirementLog {
  private readonly retired = new Set<string>();

  constructor(private readonly isOut: () => boolean) {}

  /** True when the copy may go: one that it relies on isn't retired. */
  retire(copyId: string, reliesOnCopyIds: readonly string[]): boolean {
    if (this.isOut()) return false;
    if (!reliesOnCopyIds.some(id => !this.retired.has(id))) return false;
    this.retired.add(copyId);
    return true;
  }
}
