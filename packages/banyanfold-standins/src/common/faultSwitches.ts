import type {z} from 'zod';
import {ok} from 'neverthrow';
import {DEFAULT_SEED, createRandom, type Random} from './random.js';
import {refuse, type Answer} from './refusal.js';

/**
 * The fault switches of a stand-in. A fault is on for the next `n` cases, when
 * its switch is a count, or with a probability.
 */
export class FaultSwitches<S extends z.ZodType<object>> {
  private current: z.output<S>;
  private readonly listeners: Array<() => void> = [];

  constructor(
    private readonly schema: S,
    initial: Partial<z.output<S>> = {},
    private readonly random: Random = createRandom(DEFAULT_SEED),
  ) {
    this.current = schema.parse(initial);
  }

  get(): Readonly<z.output<S>> {
    return this.current;
  }

  /** Replaces the fields given and leaves the others. */
  set(change: Partial<z.output<S>>): Answer<z.output<S>> {
    const checked = this.schema.safeParse({...this.current, ...change});
    if (!checked.success) {
      return refuse(400, 'bad-faults', {
        detail: {message: checked.error.message},
      });
    }
    this.current = checked.data;
    for (const listener of this.listeners) listener();
    return ok(this.current);
  }

  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Whether a fault with this probability happens now. */
  happens(field: keyof z.output<S>): boolean {
    const probability = this.current[field];
    if (typeof probability !== 'number' || probability <= 0) return false;
    return this.random() < probability;
  }

  /** Takes one from a count; false when it is used up. */
  takeNext(field: keyof z.output<S>): boolean {
    const left = this.current[field];
    if (typeof left !== 'number' || left < 1) return false;
    this.current = {...this.current, [field]: left - 1};
    return true;
  }
}
