import {createHash} from 'node:crypto';

/**
 * Orders ids by rendezvous hashing. All callers compute the same order for a
 * key, and when an id is removed, only the keys that it was first for move.
 *
 * @example rendezvousOrder('planner', ['entry-1', 'entry-2'])[0]
 */
export function rendezvousOrder(key: string, ids: readonly string[]): string[] {
  return ids
    .map(id => ({id, weight: hashOf(key, id)}))
    .sort((a, b) => compare(b.weight, a.weight) || compare(a.id, b.id))
    .map(({id}) => id);
}

/** JSON encoding distinguishes ('a', 'bc') from ('ab', 'c'). */
function hashOf(key: string, id: string): string {
  const text = JSON.stringify([key, id]);
  return createHash('sha256').update(text).digest('hex');
}

function compare(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
