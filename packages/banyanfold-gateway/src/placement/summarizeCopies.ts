import type {CopyPlanInput} from '@banyanfold/decisions';

/** A model without a request for this long is not in demand. */
const IN_DEMAND_MS = 5_000;

/** How the memory of the runners of a service is used. */
export interface CopySummary {
  runners: number;
  /** Copies that serve or are being loaded. */
  copies: number;
  /** Models with at least one of them. */
  heldModels: number;
  /** Copies beyond the first one of each model. */
  extraCopies: number;
  /** First copies of models that nobody requested lately. */
  unrequestedModels: number;
  /** Models that were requested lately and have no copy. */
  missingModels: number;
  /** Runners for whose freed memory a model is intended. */
  intendedModels: number;
  /** Requests that wait for a copy or for a slot for their adapter. */
  waiting: number;
  storeLoadsLeft: number;
}

/**
 * Summarizes the input of a placement plan for the log.
 *
 * @example
 * summarizeCopies({runners: [], models: [], storeLoadsLeft: 1}).copies // 0
 */
export function summarizeCopies(input: CopyPlanInput): CopySummary {
  const {runners, models, storeLoadsLeft} = input;
  const held = runners.flatMap(runner => [...runner.models]);
  const heldModels = new Set(held);
  const isInDemand = (idleMs: number) => idleMs < IN_DEMAND_MS;
  return {
    runners: runners.length,
    copies: held.length,
    heldModels: heldModels.size,
    extraCopies: held.length - heldModels.size,
    unrequestedModels: models.filter(
      ({name, idleMs}) => heldModels.has(name) && !isInDemand(idleMs),
    ).length,
    missingModels: models.filter(
      ({name, idleMs}) => !heldModels.has(name) && isInDemand(idleMs),
    ).length,
    intendedModels: runners.filter(
      ({intendedModel}) => intendedModel !== undefined,
    ).length,
    waiting: models.reduce((sum, {waiting}) => sum + waiting, 0),
    storeLoadsLeft,
  };
}
