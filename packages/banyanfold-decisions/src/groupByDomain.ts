/**
 * Groups entries by failure domain.
 *
 * @example groupByDomain([{failureDomain: 'hall-a'}]).get('hall-a')
 */
export function groupByDomain<E extends {failureDomain: string}>(
  entries: readonly E[],
): Map<string, E[]> {
  const domains = new Map<string, E[]>();
  for (const entry of entries) {
    const members = domains.get(entry.failureDomain);
    if (members) members.push(entry);
    else domains.set(entry.failureDomain, [entry]);
  }
  return domains;
}
