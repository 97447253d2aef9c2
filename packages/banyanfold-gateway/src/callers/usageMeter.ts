import type {UsageReport} from '@banyanfold/decisions';

/** Counts use by organisation between two exchanges with the holder. */
export class UsageMeter {
  private byOrganisation = new Map<string, UsageReport>();

  /** @param used negative for what was admitted and then not run. */
  note(organisation: string, asked: number, used: number): void {
    const report = this.byOrganisation.get(organisation);
    this.byOrganisation.set(organisation, {
      organisation,
      asked: (report?.asked ?? 0) + asked,
      used: (report?.used ?? 0) + used,
    });
  }

  /** Adds what another entry has counted. */
  add(reports: readonly UsageReport[]): void {
    for (const {organisation, asked, used} of reports) {
      this.note(organisation, asked, used);
    }
  }

  /** Takes what was counted, and begins anew. */
  take(): UsageReport[] {
    const taken = [...this.byOrganisation.values()];
    this.byOrganisation = new Map();
    return taken;
  }
}
