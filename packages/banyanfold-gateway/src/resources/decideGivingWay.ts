/** A request or response in progress that holds memory. */
export interface HeldTransfer {
  id: number;
  /** Everything that is freed if it gives way. */
  bytes: number;
  /** Time since the other side last took or sent a part of it. */
  waitingMs: number;
}

export interface GivingWayView {
  /** Held by the process in total, including what can't give way. */
  heldBytes: number;
  /** What the total is to be reduced to. */
  targetBytes: number;
  transfers: readonly HeldTransfer[];
  /** Only transfers that are stalled may give way. */
  isOnlyStalled: boolean;
}

export interface GivingWayDecision {
  /** The transfers that give way, in this order. */
  transfers: HeldTransfer[];
  /** What is held afterwards. */
  heldBytes: number;
  /** Whether that is no more than the target. */
  isSufficient: boolean;
}

/**
 * Decides which transfers give way when the memory held for callers is used up.
 * A caller that reads slowly makes the process hold a response for long; without
 * a bound on the sum, some hundred such callers exceed the memory of a small
 * machine, and the process is killed with all of its requests.
 *
 * Stalled transfers give way before those in progress, so that callers that
 * read are still served. Within each group, the one with the largest product of
 * size and waiting time is first: it has kept the most memory from others.
 *
 * @param stalledAfterMs waiting time from which a transfer counts as stalled.
 */
export function decideGivingWay(
  {heldBytes, targetBytes, transfers, isOnlyStalled}: GivingWayView,
  stalledAfterMs: number,
): GivingWayDecision {
  const isStalled = ({waitingMs}: HeldTransfer) => waitingMs >= stalledAfterMs;
  const ordered = transfers
    .filter(({bytes}) => bytes > 0)
    .filter(transfer => !isOnlyStalled || isStalled(transfer))
    .sort(
      (a, b) =>
        Number(isStalled(b)) - Number(isStalled(a)) ||
        memoryTime(b) - memoryTime(a) ||
        b.bytes - a.bytes,
    );
  const chosen: HeldTransfer[] = [];
  let leftBytes = heldBytes;
  for (const transfer of ordered) {
    if (leftBytes <= targetBytes) break;
    chosen.push(transfer);
    leftBytes -= transfer.bytes;
  }
  return {
    transfers: chosen,
    heldBytes: leftBytes,
    isSufficient: leftBytes <= targetBytes,
  };
}

function memoryTime({bytes, waitingMs}: HeldTransfer): number {
  return bytes * waitingMs;
}
