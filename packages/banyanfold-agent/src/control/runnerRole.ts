import type {EngineReport} from '../engine/engineSchemas.js';

/** The engine's role: as ordered, until a later report says otherwise. */
export class RunnerRole {
  private setAtMs = Number.NEGATIVE_INFINITY;

  constructor(private role: string) {}

  get current(): string {
    return this.role;
  }

  set(role: string, setAtMs: number): void {
    this.role = role;
    this.setAtMs = setAtMs;
  }

  /** A report from before the last order would bring the old role back. */
  observe({role, takenAtMs}: EngineReport): void {
    if (role && takenAtMs > this.setAtMs) this.role = role;
  }
}
