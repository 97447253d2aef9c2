import type {VersionOptions} from './decisionPolicies.js';

/**
 * The options of the version before this one, written out, so that a change
 * of a default shows up against it.
 */
export const PREVIOUS_OPTIONS: VersionOptions = {
  route: {assumedMaxRunning: 0, runningCostMs: 2, otherRoleCostMs: 60},
};
