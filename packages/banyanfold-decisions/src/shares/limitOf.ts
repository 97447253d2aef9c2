import type {AskedRate} from './askedRate.js';
import type {ShareLimit} from './shareDemand.js';

/** Resolution of a share. */
const SHARE_STEPS = 1_000;

/**
 * Returns the limit with which an organisation gets an amount of work per
 * second, the most urgent requests first; undefined if it asks for no more.
 *
 * @param byPriority demand by priority, where 0 is the most urgent.
 * @example limitOf(new Map([[0, urgent], [1, others]]), 40, nowMs) // [1, 0.3]
 */
export function limitOf(
  byPriority: ReadonlyMap<number, AskedRate>,
  amount: number,
  nowMs: number,
): ShareLimit | undefined {
  let left = amount;
  const priorities = [...byPriority.keys()].sort((a, b) => a - b);
  for (const priority of priorities) {
    const demand = byPriority.get(priority)!.perSecond(nowMs);
    if (demand > left * (1 + 1 / SHARE_STEPS)) {
      const share = Math.floor((left / demand) * SHARE_STEPS) / SHARE_STEPS;
      return [priority, share];
    }
    left = Math.max(0, left - demand);
  }
  return undefined;
}
