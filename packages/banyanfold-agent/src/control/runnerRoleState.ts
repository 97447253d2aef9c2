import type {EngineReport} from '../engine/engineSchemas.js';

/** The engine's role: as ordered, until a later report says otherwise. */
export class RunnerRoleState {
  private setAtEngineMs = Number.NEGATIVE_INFINITY;

  constructor(private role: string) {}

  get current(): string {
    return this.role;
  }

  set(role: string, setAtEngineMs: number): void {
    this.role = role;
    this.setAtEngineMs = setAtEngineMs;
  }

  /** A report from before the last order would bring the old role back. */
  observe({role, takenAtMs}: EngineReport): void {
    if (role && takenAtMs > this.setAtEngineMs) this.role = role;
  }
}
