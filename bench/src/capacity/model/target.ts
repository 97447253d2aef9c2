/** The size that the users' letter asks to design for. */
export const TARGET = {
  entries: 730,
  agents: 2_000,
  accelerators: 16_000,
  requestsPerSecond: 14_000,
  tokensPerSecond: 3_600_000,
  firstTokenMs: 310,
  betweenTokensMs: 41,
  models: 1_200,
  regions: 3,
  failureDomains: 6,
  configChangesPerDay: 10_000,
  configInForceMs: 7_000,
  vmFailuresPerDay: 30,
  vmReplacementsPerDay: 520,
} as const;

const BYTES_PER_KB = 1_000;
const BYTES_PER_MB = 1_000_000;

/** What control may take of a node. */
export const BUDGETS = {
  coreShare: 0.031,
  memoryBytes: 64 * BYTES_PER_MB,
  bytesPerSecond: 14 * BYTES_PER_KB,
} as const;

const SECONDS_PER_DAY = 86_400;
const US_PER_SECOND = 1_000_000;

/** Microseconds of processor time a second that the budget allows. */
export const BUDGET_CPU_US_PER_SECOND = BUDGETS.coreShare * US_PER_SECOND;

export const CONFIG_CHANGES_PER_SECOND =
  TARGET.configChangesPerDay / SECONDS_PER_DAY;

/** The intervals of the daemons' own settings. */
export const INTERVALS = {
  reportMs: 500,
  vmListMs: 1_000,
  plannerMs: 1_000,
  engineReportMs: 250,
  logPollMs: 10_000,
  keyHorizonMs: 1_800_000,
} as const;

/** What the letter leaves open; each figure that leans on one says so. */
export const ASSUMED = {
  /** 16,000 accelerators over 2,000 runners give room for several models. */
  copiesPerRunner: 4,
  prefixesPerRunner: 256,
  /** Artifacts that a runner has served since its agent started. */
  servedPerRunner: 16,
  /** Share of requests that may not be repeated, and so claim a key. */
  claimShare: 0.01,
  selectors: 50,
  groups: 50,
} as const;
