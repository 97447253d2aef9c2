/** What an entry knows of a stream that a caller takes up. */
export interface ContinuationView {
  /** Version that wrote the stream's first event; undefined if unknown. */
  originVersion: string | undefined;
  /** Whether other versions serve, and that one will not again. */
  isOriginGone: boolean;
  /**
   * The only version that any runner has had for as long as a stream can be
   * open; undefined if there were several, or if it is not certain.
   */
  onlyVersion: string | undefined;
}

/** Where a stream may go on. */
export type Continuation =
  | {kind: 'at-version'; version: string; reason: 'known' | 'only-version'}
  | {kind: 'refuse'; reason: 'version-gone' | 'origin-unknown'};

/**
 * Decides where a stream that a caller takes up may go on. What runners of two
 * versions write doesn't fit together, so without certainty the stream is
 * refused.
 *
 * @example
 * decideContinuation({
 *   originVersion: 'v1',
 *   isOriginGone: false,
 *   onlyVersion: undefined,
 * }) // {kind: 'at-version', version: 'v1', reason: 'known'}
 */
export function decideContinuation({
  originVersion,
  isOriginGone,
  onlyVersion,
}: ContinuationView): Continuation {
  if (originVersion !== undefined) {
    return isOriginGone
      ? {kind: 'refuse', reason: 'version-gone'}
      : {kind: 'at-version', version: originVersion, reason: 'known'};
  }
  return onlyVersion === undefined
    ? {kind: 'refuse', reason: 'origin-unknown'}
    : {kind: 'at-version', version: onlyVersion, reason: 'only-version'};
}
