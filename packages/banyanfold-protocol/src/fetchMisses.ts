import {isUnknownProcedure, type EntryClient} from './clients.js';
import type {MissedCount} from './entryContract.js';

/**
 * Asks an entry for its misses. One of an earlier release doesn't know the
 * question, and is asked for its status: else the planner would not hear, until
 * all entries are replaced, of what only callers of that one ask for.
 *
 * @example meter.noteMisses(vmId, await fetchMisses(client))
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
