import type {RunnerRegistration} from '../types.js';

/** Runners that state no version count as one version of their own. */
const UNSTATED_VERSION = '';

/**
 * Returns the software version by which runners are told apart.
 *
 * @example versionOf({softwareVersion: undefined}) // ''
 */
export function versionOf({
  softwareVersion = UNSTATED_VERSION,
}: Pick<RunnerRegistration, 'softwareVersion'>): string {
  return softwareVersion;
}
