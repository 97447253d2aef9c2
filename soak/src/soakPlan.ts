import {createDraw} from './random.js';

/** What is disturbed, from outside the programs. */
export const FAULT_KINDS = [
  'entry-term',
  'entry-kill',
  'entry-pause',
  'entry-reload',
  'store-link',
  'store-down',
  'store-forgets',
  'runner-link',
  'runner-answers',
  'runner-leaves',
  'runner-crash',
  'config-change',
] as const;

/** Planned by itself, so that the other faults of a seed stay what they are. */
const STORE_RESTORE = 'store-restore';

/** What runners say of themselves in their responses; planned likewise. */
const NOTICE_KINDS = ['runner-says-leaving', 'runner-asks-for-pause'] as const;

/** Answers that end with their connection; planned likewise. */
const UNFRAMED_KIND = 'runner-answers-unframed';

/** Callers open new connections to one entry; planned likewise. */
const HERD_KIND = 'callers-herd';

/** A runner leaves while reads of the store fail; planned likewise. */
const UNNOTICED_KIND = 'runner-leaves-unnoticed';

/** The same without notice; planned likewise. */
const GONE_KIND = 'runner-gone';

/** Records of another writer; planned likewise. */
const ODD_KINDS = ['odd-registrations', 'odd-system-records'] as const;

/** What another writer puts in place of the configuration, for a moment. */
const ODD_CONFIG_KIND = 'odd-config';

export type FaultKind =
  | (typeof FAULT_KINDS)[number]
  | (typeof NOTICE_KINDS)[number]
  | typeof UNNOTICED_KIND
  | typeof GONE_KIND
  | typeof UNFRAMED_KIND
  | typeof HERD_KIND
  | typeof STORE_RESTORE
  | (typeof ODD_KINDS)[number]
  | typeof ODD_CONFIG_KIND;

export interface PlannedFault {
  kind: FaultKind;
  atMs: number;
  forMs: number;
  /** Which of the entries or runners, counted modulo their number. */
  target: number;
  /** Which variant of the fault, counted modulo their number. */
  variant: number;
}

export interface SoakPlanOptions {
  seed: number;
  /** The span in which faults begin. */
  lengthMs: number;
}

/** Faults begin this far apart, so that two or three overlap. */
const MIN_GAP_MS = 150;
const MAX_GAP_MS = 1_300;
const MIN_FOR_MS = 300;
const MAX_FOR_MS = 3_500;
/** Polls miss records for a moment only. */
const MAX_MISSED_MS = 1_000;
/** In one in so many seeds the store comes back from an older copy. */
const RESTORE_SEED_ONE_IN = 5;
/** One in so many comes in a series: the same again, soon after. */
const SERIES_ONE_IN = 4;
const MANY = 1_000;

/**
 * The faults of one seed: single ones, overlapping ones, and series of the same.
 *
 * @example planFaults({seed: 7, lengthMs: 12_000})[0]?.kind
 */
export function planFaults({seed, lengthMs}: SoakPlanOptions): PlannedFault[] {
  const draw = createDraw(seed);
  const faults: PlannedFault[] = [];
  let atMs = draw.int(MIN_GAP_MS, MAX_GAP_MS);
  while (atMs < lengthMs) {
    const fault = {
      kind: draw.pick(FAULT_KINDS),
      atMs,
      forMs: draw.int(MIN_FOR_MS, MAX_FOR_MS),
      target: draw.int(0, MANY),
      variant: draw.int(0, MANY),
    };
    faults.push(fault);
    if (draw.int(1, SERIES_ONE_IN) === 1) {
      faults.push({
        ...fault,
        atMs: atMs + MIN_GAP_MS,
        target: fault.target + 1,
      });
    }
    atMs += draw.int(MIN_GAP_MS, MAX_GAP_MS);
  }
  return [
    ...faults,
    ...planRestores({seed, lengthMs}),
    ...planNotices({seed, lengthMs}),
    ...planUnnoticed({seed, lengthMs}, UNNOTICED_KIND, 3),
    ...planHalves({seed, lengthMs}, UNFRAMED_KIND, 4),
    ...planHalves({seed, lengthMs}, HERD_KIND, 5),
    ...planUnnoticed({seed, lengthMs}, GONE_KIND, 6),
    ...ODD_KINDS.flatMap((kind, i) =>
      planHalves({seed, lengthMs}, kind, 7 + i),
    ),
    ...planUnnoticed({seed, lengthMs}, ODD_CONFIG_KIND, 9),
  ];
}

/**
 * A fault of a kind in each half of a run, for a moment only, as runners that
 * leave while reads fail; their variants take turns.
 */
function planUnnoticed(
  {seed, lengthMs}: SoakPlanOptions,
  kind: FaultKind,
  seedOffset: number,
): PlannedFault[] {
  const draw = createDraw(seed + seedOffset);
  return [0, 1].map(half => ({
    kind,
    atMs: (half * lengthMs) / 2 + draw.int(MIN_GAP_MS, MAX_GAP_MS),
    forMs: draw.int(MIN_FOR_MS, MAX_MISSED_MS),
    target: draw.int(0, MANY),
    variant: seed + half,
  }));
}

/** One fault of a kind in each half of a run; their variants take turns. */
function planHalves(
  {seed, lengthMs}: SoakPlanOptions,
  kind: FaultKind,
  seedOffset: number,
): PlannedFault[] {
  const draw = createDraw(seed + seedOffset);
  return [0, 1].map(half => ({
    kind,
    atMs: (half * lengthMs) / 2 + draw.int(MIN_GAP_MS, MAX_GAP_MS),
    forMs: draw.int(MIN_FOR_MS, MAX_FOR_MS),
    target: draw.int(0, MANY),
    variant: seed + half,
  }));
}

/** One notice of each kind in each half of a run. */
function planNotices({seed, lengthMs}: SoakPlanOptions): PlannedFault[] {
  const draw = createDraw(seed + 2);
  return [0, lengthMs / 2].flatMap(fromMs =>
    NOTICE_KINDS.map(kind => ({
      kind,
      atMs: fromMs + draw.int(MIN_GAP_MS, MAX_GAP_MS),
      forMs: draw.int(MIN_FOR_MS, MAX_FOR_MS),
      target: draw.int(0, MANY),
      variant: 0,
    })),
  );
}

/** The store goes back by the length of the fault, twice in a run. */
function planRestores({seed, lengthMs}: SoakPlanOptions): PlannedFault[] {
  if (seed % RESTORE_SEED_ONE_IN !== 1) return [];
  const draw = createDraw(seed + 1);
  return [0, lengthMs / 2].map(fromMs => ({
    kind: STORE_RESTORE,
    atMs: fromMs + draw.int(MIN_GAP_MS, MAX_GAP_MS),
    forMs: draw.int(MIN_FOR_MS, MAX_FOR_MS),
    target: 0,
    variant: 0,
  }));
}
