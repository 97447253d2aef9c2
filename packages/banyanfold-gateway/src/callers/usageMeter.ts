import type {UsageReport} from '@banyanfold/decisions';

/** Counts usage by organisation between two exchanges with the holder. */
export class UsageMeter {
  private byOrganisation = new Map<string, UsageReport>();

  /**
   * @param asked the amount that callers requested, admitted or not.
   * @param used the admitted amount; negative for a refund.
   */
  note(organisation: string, asked: number, used: number): void {
    const report = this.byOrganisation.get(organisation);
    this.byOrganisation.set(organisation, {
      organisation,
      asked: (report?.asked ?? 0) + asked,
      used: (report?.used ?? 0) + used,
    });
  }

  /** Adds the counts of another entry. */
  add(reports: readonly UsageReport[]): void {
    for (const {organisation, asked, used} of reports) {
      this.note(organisation, asked, used);
    }
  }

  /** Returns the counts and resets them. */
  take(): UsageReport[] {
    const taken = [...this.byOrganisation.values()];
    this.byOrganisation = new Map();
    return taken;
  }
}
