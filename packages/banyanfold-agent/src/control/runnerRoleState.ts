import type {EngineReport} from '../engine/engineSchemas.js';

/** The engine's role: the last one set, until a newer report overrides it. */
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

  /** Ignores reports from before the last order, which have the old role. */
  observe({role, takenAtMs}: EngineReport): void {
    if (role && takenAtMs > this.setAtEngineMs) this.role = role;
  }
}
