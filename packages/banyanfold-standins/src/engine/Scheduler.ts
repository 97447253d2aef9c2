import type {Clock} from '@banyanfold/core';
import type {Sequence} from './Sequence.js';
import type {TimeModel} from './options.js';
import {tokenText} from './text.js';

const MS_PER_SECOND = 1000;

export interface SchedulerHooks {
  /** Called when a sequence leaves the queue; gives its cached tokens. */
  onStart(sequence: Sequence): number;
  /** Called when the whole prompt was taken in. */
  onPrefilled(sequence: Sequence): void;
  onComplete(sequence: Sequence): void;
  /** Called after each change of what runs or waits. */
  onChange(): void;
}

export interface SchedulerOptions {
  timeModel: TimeModel;
  kvCapacityBytes: number;
}

/** What one step does. */
interface Step {
  prefills: Array<{sequence: Sequence; tokens: number}>;
  decodes: Sequence[];
}

/** Continuous batching: steps in which sequences join and leave. */
export class Scheduler {
  private readonly waiting: Sequence[] = [];
  private readonly active = new Set<Sequence>();
  private kvReservedBytes = 0;
  private isStepping = false;
  private isPaused = false;
  /** The end of a step that fell into a pause. */
  private heldStep: (() => void) | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly options: SchedulerOptions,
    private readonly hooks: SchedulerHooks,
  ) {}

  get running(): number {
    return this.active.size;
  }

  get queued(): number {
    return this.waiting.length;
  }

  get kvUsedBytes(): number {
    return this.kvReservedBytes;
  }

  add(sequence: Sequence): void {
    const {priority} = sequence.stream.request;
    const after = this.waiting.findIndex(
      other => other.stream.request.priority > priority,
    );
    const index = after < 0 ? this.waiting.length : after;
    this.waiting.splice(index, 0, sequence);
    this.hooks.onChange();
    this.startStep();
  }

  /** Takes a sequence out; false when it is not here any more. */
  remove(sequence: Sequence): boolean {
    const index = this.waiting.indexOf(sequence);
    if (index >= 0) this.waiting.splice(index, 1);
    else if (!this.release(sequence)) return false;
    this.hooks.onChange();
    return true;
  }

  /** Whether any sequence, waiting or running, satisfies the condition. */
  some(condition: (sequence: Sequence) => boolean): boolean {
    return this.waiting.some(condition) || [...this.active].some(condition);
  }

  pause(): void {
    this.isPaused = true;
  }

  resume(): void {
    this.isPaused = false;
    const held = this.heldStep;
    this.heldStep = undefined;
    if (held) held();
    else this.startStep();
  }

  private startStep(): void {
    if (this.isStepping || this.isPaused) return;
    this.admit();
    if (this.active.size === 0) return;
    this.isStepping = true;
    const step = this.planStep();
    this.clock.setTimer(this.stepMs(step), () => {
      if (this.isPaused) this.heldStep = () => this.endStep(step);
      else this.endStep(step);
    });
  }

  private admit(): void {
    while (this.active.size < this.options.timeModel.maxRunning) {
      const next = this.waiting[0];
      if (!next || !this.fits(next)) return;
      this.waiting.shift();
      this.active.add(next);
      this.kvReservedBytes += next.kvBytes;
      next.isStarted = true;
      next.prefillLeftTokens -= this.hooks.onStart(next);
      this.hooks.onChange();
    }
  }

  private fits(sequence: Sequence): boolean {
    const wantedBytes = this.kvReservedBytes + sequence.kvBytes;
    return wantedBytes <= this.options.kvCapacityBytes;
  }

  private planStep(): Step {
    const step: Step = {prefills: [], decodes: []};
    let budgetTokens = this.options.timeModel.prefillChunkTokens;
    for (const sequence of this.active) {
      if (sequence.isDecoding) {
        step.decodes.push(sequence);
        continue;
      }
      const tokens = Math.min(sequence.prefillLeftTokens, budgetTokens);
      if (tokens === 0) continue;
      budgetTokens -= tokens;
      step.prefills.push({sequence, tokens});
    }
    return step;
  }

  private stepMs({prefills, decodes}: Step): number {
    const {prefillTokensPerSecond, baseStepMs, stepMsPerSequence} =
      this.options.timeModel;
    const tokens = prefills.reduce((sum, prefill) => sum + prefill.tokens, 0);
    const prefillMs = (tokens / prefillTokensPerSecond) * MS_PER_SECOND;
    return prefillMs + baseStepMs + stepMsPerSequence * decodes.length;
  }

  private endStep({prefills, decodes}: Step): void {
    for (const sequence of decodes) this.produceToken(sequence);
    for (const {sequence, tokens} of prefills) this.prefill(sequence, tokens);
    this.isStepping = false;
    this.startStep();
  }

  private prefill(sequence: Sequence, tokens: number): void {
    if (!this.active.has(sequence)) return;
    sequence.prefillLeftTokens -= tokens;
    if (!sequence.isDecoding) return;
    this.hooks.onPrefilled(sequence);
    this.produceToken(sequence);
  }

  private produceToken(sequence: Sequence): void {
    if (!this.active.has(sequence)) return;
    const text = tokenText(sequence.textSeed, sequence.producedTokens);
    sequence.producedTokens += 1;
    sequence.stream.add({kind: 'token', text});
    if (!sequence.isComplete) return;
    this.release(sequence);
    this.hooks.onComplete(sequence);
    this.hooks.onChange();
  }

  private release(sequence: Sequence): boolean {
    if (!this.active.delete(sequence)) return false;
    this.kvReservedBytes -= sequence.kvBytes;
    return true;
  }
}
