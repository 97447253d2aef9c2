import type {Organisation} from '../types.js';
import type {OrganisationDirectory} from './organisationDirectory.js';

/** What is known about the caller of a request. */
export interface CallerView {
  /** Undefined if the configuration requires no keys. */
  directory: OrganisationDirectory | undefined;
  /** The route may be called without a key. */
  isPublic: boolean;
  /** Undefined if the key is missing or malformed. */
  keyDigest: string | undefined;
  /**
   * The configuration is too old to rule out that a key was revoked, so no key
   * is accepted.
   */
  isConfigStale: boolean;
  /** No newer configuration that would admit the caller can be in force. */
  isConfigConfirmed: boolean;
}

export type CallerDecision =
  | {kind: 'admitted'; organisation?: Organisation}
  /** The caller may not use the route. */
  | {kind: 'unauthorized'; reason: 'no-key' | 'unknown-key'}
  /** The configuration is not recent enough to decide; the caller may retry. */
  | {kind: 'undecided'};

/**
 * Decides whether a caller may use a route, by the newest known configuration.
 *
 * @example decideCaller({directory, isPublic: false, keyDigest: undefined,
 *   isConfigStale: false, isConfigConfirmed: true})
 * // {kind: 'unauthorized', reason: 'no-key'}
 */
export function decideCaller(view: CallerView): CallerDecision {
  const {directory, isPublic, keyDigest, isConfigStale, isConfigConfirmed} =
    view;
  if (!directory || isPublic) return {kind: 'admitted'};
  if (isConfigStale) return {kind: 'undecided'};
  const organisation =
    keyDigest === undefined ? undefined : directory.findByKeyDigest(keyDigest);
  if (organisation) return {kind: 'admitted', organisation};
  if (!isConfigConfirmed) return {kind: 'undecided'};
  const reason = keyDigest === undefined ? 'no-key' : 'unknown-key';
  return {kind: 'unauthorized', reason};
}
