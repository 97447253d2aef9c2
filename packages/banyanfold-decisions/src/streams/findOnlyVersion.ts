/** What an entry knows of the versions of one service. */
export interface VersionEvidence {
  /** Versions that this entry has seen for as long as a stream can be open. */
  versions: readonly string[];
  /** Versions that its peers have answered with. */
  peerVersions: readonly string[];
  /** Whether a peer has seen several. */
  havePeersSeenSeveral: boolean;
  /**
   * Whether the runners known here are those of a read that was sent after the
   * stream was taken up.
   */
  isConfirmed: boolean;
  /** Whether this entry has seen all versions up to its last read. */
  isHistoryComplete: boolean;
  /** The same of a peer whose last read is recent. */
  hasPeerCompleteHistory: boolean;
  /** Whether the versions before this entry started are known. */
  isStartKnown: boolean;
  /**
   * Time since this entry may first have missed versions that came and went;
   * undefined if it has read the runners without a gap.
   */
  gapAgeMs: number | undefined;
  /** Time since its last read, in ms; Infinity if that is unknown. */
  readAgeMs: number;
  /**
   * The shortest time for which a peer has followed the runners, and remembered
   * the versions that it used; undefined unless all entries have answered.
   */
  peersFollowedMs: number | undefined;
}

/**
 * Returns the only version at which a stream that no entry knows can have begun;
 * undefined if there were several, or if it is not certain. Either the store has
 * shown that no other version has served, or each entry that can have begun the
 * stream has.
 *
 * @example
 * findOnlyVersion({
 *   versions: ['v1'],
 *   peerVersions: [],
 *   havePeersSeenSeveral: false,
 *   isConfirmed: true,
 *   isHistoryComplete: true,
 *   hasPeerCompleteHistory: false,
 *   isStartKnown: true,
 *   gapAgeMs: undefined,
 *   readAgeMs: 4,
 *   peersFollowedMs: undefined,
 * }) // 'v1'
 */
export function findOnlyVersion(evidence: VersionEvidence): string | undefined {
  if (hasSeveralVersions(evidence)) return undefined;
  const isSeen =
    evidence.isConfirmed &&
    isPastSeen(evidence, evidence.hasPeerCompleteHistory);
  const isCertain = isSeen || isRememberedByAll(evidence);
  return isCertain ? evidence.versions[0] : undefined;
}

/** Whether several versions have served that a stream can have begun at. */
export function hasSeveralVersions({
  versions,
  peerVersions,
  havePeersSeenSeveral,
}: Pick<
  VersionEvidence,
  'versions' | 'peerVersions' | 'havePeersSeenSeveral'
>): boolean {
  return (
    havePeersSeenSeveral || new Set([...versions, ...peerVersions]).size > 1
  );
}

/** Whether the versions up to the last read of the runners are all known. */
export function isPastSeen(
  {
    isHistoryComplete,
    isStartKnown,
    gapAgeMs,
  }: Pick<VersionEvidence, 'isHistoryComplete' | 'isStartKnown' | 'gapAgeMs'>,
  hasPeerCompleteHistory: boolean,
): boolean {
  const isGapless = gapAgeMs === undefined;
  return (
    isHistoryComplete || hasPeerCompleteHistory || (isGapless && isStartKnown)
  );
}

/**
 * Whether all entries have answered, and each remembers the versions that it used
 * since this one has read the runners without a gap.
 */
function isRememberedByAll({
  isStartKnown,
  gapAgeMs = 0,
  readAgeMs,
  peersFollowedMs,
}: VersionEvidence): boolean {
  const unseenMs = Math.max(readAgeMs, gapAgeMs);
  return (
    isStartKnown && peersFollowedMs !== undefined && peersFollowedMs >= unseenMs
  );
}
