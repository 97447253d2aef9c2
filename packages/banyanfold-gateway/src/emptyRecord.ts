/**
 * Creates a record whose keys come from outside, such as the names in callers'
 * headers. It inherits nothing: a count under the name `constructor` of a usual
 * object was added to a function and became a text.
 *
 * @example emptyRecord<number>()['constructor'] // undefined
 */
export function emptyRecord<V>(): Record<string, V> {
  return Object.create(null) as Record<string, V>;
}
