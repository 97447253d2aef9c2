import type {CopyModel, CopyPlanInput, CopyRunner} from '@banyanfold/decisions';

const RUNNER_MB = 83_000;
const MODEL_MB = 34_300;
const COPIES_A_RUNNER = 2;
/** Demand of the models that are asked for, in requests a second; few are hot. */
const HOT_REQUESTS = 60;
const SELDOM_REQUESTS = 0.9;
const WORK_A_REQUEST = 1.4;
/** Of so many models one is hot, and one nobody holds though callers wait. */
const HOT_EVERY = 13;
const ABSENT_EVERY = 17;

/** A fleet in the moment after demand has moved to models that nobody holds. */
export function fleetOf(
  runnerCount: number,
  modelCount: number,
): CopyPlanInput {
  const models = Array.from({length: modelCount}, (_, i) => modelAt(i));
  const held = models.filter((_model, i) => !isAbsent(i));
  const runners = Array.from({length: runnerCount}, (_, i): CopyRunner => {
    const names = Array.from({length: COPIES_A_RUNNER}, (_copy, k) => {
      return held[(i * COPIES_A_RUNNER + k) % held.length]!.name;
    });
    return {
      runnerId: `r${i}`,
      failureDomain: `hall-${i % 3}`,
      weightsMb: RUNNER_MB,
      reservedMb: 0,
      models: [...new Set(names)],
      isBusy: false,
      inUse: Object.fromEntries(names.map(name => [name, 4])),
      inMemory: [],
      onDisk: names,
    };
  });
  return {runners, models, storeLoadsLeft: runnerCount};
}

function isAbsent(i: number): boolean {
  return i % ABSENT_EVERY === 1;
}

function modelAt(i: number): CopyModel {
  const isHot = i % HOT_EVERY === 0 || isAbsent(i);
  const requestsPerSecond = isHot ? HOT_REQUESTS : SELDOM_REQUESTS;
  return {
    name: `m${i}`,
    weightsMb: MODEL_MB,
    storeLoadMs: 2_600,
    diskLoadMs: 520,
    memoryLoadMs: 390,
    workPerSecond: requestsPerSecond * WORK_A_REQUEST,
    requestsPerSecond,
    longTermRequestsPerSecond: requestsPerSecond,
    waiting: isAbsent(i) ? 12 : 0,
    idleMs: 0,
  };
}
