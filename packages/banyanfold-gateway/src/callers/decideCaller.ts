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
 *   isConfigStale: false}) // {kind: 'unauthorized', reason: 'no-key'}
 */
export function decideCaller(view: CallerView): CallerDecision {
  const {directory, isPublic, keyDigest, isConfigStale} = view;
  if (!directory || isPublic) return {kind: 'admitted'};
  if (isConfigStale) return {kind: 'undecided'};
  if (keyDigest === undefined) return {kind: 'unauthorized', reason: 'no-key'};
  const organisation = directory.holderOf(keyDigest);
  if (!organisation) return {kind: 'unauthorized', reason: 'unknown-key'};
  return {kind: 'admitted', organisation};
}
