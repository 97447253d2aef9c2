import type {VersionOptions} from './decisionPolicies.js';

/**
 * The options of the first version, written out, so that what their change
 * brought shows up. The functions are today's: what changed in them is told
 * with figures in docs/design/placement.md.
 */
export const PREVIOUS_OPTIONS: VersionOptions = {
  route: {assumedMaxRunning: 0, runningCostMs: 2, otherRoleCostMs: 60},
  admission: {lowerClassQueueShare: 1},
  placement: {horizonMs: 120_000, highUtilization: 0.7},
};
