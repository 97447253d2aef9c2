import type {EntryStatus} from '@banyanfold/protocol';
import type {EntryConnection} from './operatorCommand.js';

/** A process and the version that it reports; 0 if it doesn't respond. */
export interface ProcessVersion {
  vmId: string;
  version: number;
}

/** Reads the versions of all entries, and of all agents from the entries. */
export async function readVersions(
  entries: EntryConnection[],
): Promise<ProcessVersion[]> {
  const statuses = await Promise.all(
    entries.map(({client}) => client.status.query().catch(() => undefined)),
  );
  const versions = new Map<string, number>();
  entries.forEach(({vm}, index) => {
    const status = statuses[index];
    versions.set(vm.vmId, status?.configVersion ?? 0);
    if (status) mergeAgentVersions(versions, status);
  });
  return [...versions].map(([vmId, version]) => ({vmId, version}));
}

/** Keeps the newest reported version of an agent; entries poll independently. */
function mergeAgentVersions(
  versions: Map<string, number>,
  status: EntryStatus,
): void {
  for (const agent of status.agents) {
    if (!agent.reachable) continue;
    const knownVersion = versions.get(agent.vmId) ?? 0;
    versions.set(agent.vmId, Math.max(knownVersion, agent.configVersion));
  }
}

/**
 * Returns the processes that report a version older than `minVersion`.
 *
 * @example findOutdated([{vmId: 'entry-0', version: 3}], 4) // [that one]
 */
export function findOutdated(
  versions: ProcessVersion[],
  minVersion: number,
): ProcessVersion[] {
  return versions.filter(({version}) => version < minVersion);
}
