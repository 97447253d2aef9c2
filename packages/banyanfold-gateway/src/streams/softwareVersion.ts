import type {RunnerRegistration} from '../types.js';

/** Runners that state no version count as one version of their own. */
const UNSTATED_VERSION = '';

/** The fields of a runner by which its version is told apart. */
export type VersionFields = Pick<
  RunnerRegistration,
  'runnerId' | 'softwareVersion'
> &
  Partial<Pick<RunnerRegistration, 'bornMs' | 'isUnregistered'>>;

/**
 * Returns the software version by which runners are told apart. The version of
 * an incarnation that has not registered may be any, so that counts as one of
 * its own.
 *
 * @example
 * versionOf({runnerId: 'i-1', softwareVersion: undefined}) // ''
 */
export function versionOf({
  runnerId,
  bornMs,
  softwareVersion = UNSTATED_VERSION,
  isUnregistered,
}: VersionFields): string {
  return isUnregistered
    ? `unregistered ${runnerId} ${bornMs}`
    : softwareVersion;
}
