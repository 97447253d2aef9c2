import {isUnknownProcedure, type EntryClient} from './clients.js';
import type {MissedCount} from './entryContract.js';

/**
 * Fetches the misses of an entry. An entry of an earlier release lacks this
 * procedure, so its status is fetched instead. Otherwise, during an upgrade,
 * the planner would miss the demand of callers that only that entry serves.
 *
 * @example meter.recordMisses(vmId, await fetchMisses(client))
 */
export async function fetchMisses(client: EntryClient): Promise<MissedCount> {
  try {
    return await client.misses.query();
  } catch (error) {
    if (!isUnknownProcedure(error)) throw error;
    const {missedCount} = await client.status.query();
    return missedCount;
  }
}
