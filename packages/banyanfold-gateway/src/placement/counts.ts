/** Numbers by name. */
export type Counts = Readonly<Record<string, number>>;

/** Returns the own property of a record that a message has brought. */
export function valueOf<T>(
  record: Readonly<Record<string, T>>,
  name: string,
): T | undefined {
  return Object.hasOwn(record, name) ? record[name] : undefined;
}

/** Returns the count of a name; 0 if there is none. */
export function countOf(counts: Counts, name: string): number {
  return valueOf(counts, name) ?? 0;
}

/** @param total made by `emptyRecord`. */
export function addCounts(total: Record<string, number>, counts: Counts): void {
  for (const [name, count] of Object.entries(counts)) {
    total[name] = (total[name] ?? 0) + count;
  }
}
