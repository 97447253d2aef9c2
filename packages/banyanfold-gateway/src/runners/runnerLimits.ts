import type {Logger} from '@banyanfold/core';
import type {AnswerFacts} from '../types.js';

export interface RunnerLimitsOptions {
  logger: Logger;
}

/** Limits on requests that runners have named in their answers. */
export class RunnerLimits {
  private readonly perSecond = new Map<string, number>();

  constructor(private readonly options: RunnerLimitsOptions) {}

  /** Takes in what the head of an answer says, or no longer says. */
  noteAnswer(runnerId: string, facts: AnswerFacts): void {
    const {requestsPerSecond, signed, notExecuted, fromOtherRunner} = facts;
    if (fromOtherRunner || !(signed || notExecuted)) return;
    if (requestsPerSecond === this.perSecond.get(runnerId)) return;
    if (requestsPerSecond === undefined) this.perSecond.delete(runnerId);
    else this.perSecond.set(runnerId, requestsPerSecond);
    this.options.logger.info('runner-limit', {
      runner: runnerId,
      perSecond: requestsPerSecond ?? 'none',
    });
  }

  /** A runner that has started again has named nothing yet. */
  noteNewLife(runnerId: string): void {
    this.perSecond.delete(runnerId);
  }

  /** Forgets runners that are gone. */
  keepOnly(isKnown: (runnerId: string) => boolean): void {
    for (const runnerId of this.perSecond.keys()) {
      if (!isKnown(runnerId)) this.perSecond.delete(runnerId);
    }
  }
}
