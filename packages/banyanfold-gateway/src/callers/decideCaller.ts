import type {Organisation} from '../types.js';
import type {OrganisationDirectory} from './organisationDirectory.js';

/** What is known of who sent a request. */
export interface CallerView {
  /** Undefined where the configuration asks for no keys. */
  directory: OrganisationDirectory | undefined;
  /** The route may be called without a key. */
  isPublic: boolean;
  /** Undefined without a key, or with one that is malformed. */
  keyDigest: string | undefined;
  /**
   * The configuration is too old to tell whether a key has been taken away, and
   * keys are not accepted then.
   */
  isConfigStale: boolean;
  /** No newer configuration can be in force that would admit the caller. */
  isConfigConfirmed: boolean;
}

export type CallerDecision =
  | {kind: 'admitted'; organisation?: Organisation}
  /** The caller may not use the route. */
  | {kind: 'unauthorized'; reason: 'no-key' | 'unknown-key'}
  /** Nobody can tell; the caller may come back. */
  | {kind: 'undecided'};

/**
 * Whether a caller may use a route, by the newest configuration known.
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
