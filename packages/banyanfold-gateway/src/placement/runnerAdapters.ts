import type {Clock} from '@banyanfold/core';
import {adapterKey} from '../runners/heldCopies.js';

export interface AdapterName {
  model: string;
  adapter: string;
}

/** An adapter that is loaded on the runner or is being fetched. */
interface HeldAdapter extends AdapterName {
  usedMs: number;
  /** Its load got no answer. The slot counts as occupied all the same. */
  isUnconfirmed?: boolean;
}

/** The adapters of one runner, with the times of their last use. */
export class RunnerAdapters {
  private readonly held = new Map<string, HeldAdapter>();
  /** Adapters that are being unloaded and still serve. */
  private readonly unloading = new Set<string>();

  constructor(private readonly clock: Clock) {}

  /** Number of occupied slots. */
  get size(): number {
    return this.held.size;
  }

  /** Adds an adapter that is reported; one that is known keeps its last use. */
  addReported({model, adapter}: AdapterName): void {
    const key = adapterKey(model, adapter);
    if (this.held.has(key)) return;
    this.held.set(key, {model, adapter, usedMs: this.clock.nowMs()});
  }

  /** Adds an adapter whose load has been ordered. */
  addOrdered({model, adapter}: AdapterName, isUnconfirmed: boolean): void {
    const usedMs = this.clock.nowMs();
    const key = adapterKey(model, adapter);
    this.held.set(key, {model, adapter, usedMs, isUnconfirmed});
  }

  /** Drops the adapters for which `isKept` returns false. */
  retain(isKept: (key: string) => boolean): void {
    for (const key of this.held.keys()) {
      if (!isKept(key)) this.delete(key);
    }
  }

  deleteOfModel(model: string): void {
    for (const [key, held] of this.held) {
      if (held.model === model) this.held.delete(key);
    }
  }

  delete(key: string): void {
    this.held.delete(key);
    this.unloading.delete(key);
  }

  markUnloading(key: string): void {
    this.unloading.add(key);
  }

  /** Records a use; returns false if the adapter doesn't serve. */
  recordUse(model: string, adapter: string): boolean {
    const key = adapterKey(model, adapter);
    const held = this.held.get(key);
    if (!held) return false;
    held.usedMs = this.clock.nowMs();
    return !this.unloading.has(key);
  }

  /** Returns the adapters that serve now and are not being unloaded. */
  serving(): string[] {
    return [...this.held.keys()].filter(key => !this.unloading.has(key));
  }

  /** Returns the adapters that aren't being unloaded, by last use. */
  byLastUse(): Array<[key: string, held: Readonly<HeldAdapter>]> {
    return [...this.held.entries()]
      .filter(([key]) => !this.unloading.has(key))
      .sort(([, a], [, b]) => a.usedMs - b.usedMs);
  }
}
