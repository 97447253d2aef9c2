import {createLogger, systemClock} from '@banyanfold/core';
import {ConfigFollower, createLogService} from '@banyanfold/log';
import type {OperatorSettings} from './settings.js';

const OPERATOR_VM_ID = 'operator';
const ONE_HOUR_MS = 3_600_000;

/**
 * Creates a follower of the configuration for one command. It appends no
 * checkpoints; only entries do that.
 */
export function createOperatorFollower(
  settings: OperatorSettings,
): ConfigFollower {
  return new ConfigFollower({
    log: createLogService({url: settings.platform.logUrl}),
    clock: systemClock,
    logger: createLogger({process: OPERATOR_VM_ID}),
    random: Math.random,
    vmId: OPERATOR_VM_ID,
    liveVmIds: () => [],
    retentionMs: ONE_HOUR_MS,
  });
}
