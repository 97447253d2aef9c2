import type {EntryStatus} from '@banyanfold/protocol';
import type {ReachedEntry} from './operatorCommand.js';

/** A process and the version it reports; 0 when it doesn't answer. */
export interface ProcessVersion {
  vmId: string;
  version: number;
}

/** Asks every entry, and through them every agent, for its version. */
export async function readVersions(
  entries: ReachedEntry[],
): Promise<ProcessVersion[]> {
  const statuses = await Promise.all(
    entries.map(({client}) => client.status.query().catch(() => undefined)),
  );
  const versions = new Map<string, number>();
  entries.forEach(({vm}, index) => {
    const status = statuses[index];
    versions.set(vm.vmId, status?.configVersion ?? 0);
    if (status) noteAgents(versions, status);
  });
  return [...versions].map(([vmId, version]) => ({vmId, version}));
}

/** The newest word about an agent counts: entries hear of it at their pace. */
function noteAgents(versions: Map<string, number>, status: EntryStatus): void {
  for (const agent of status.agents) {
    if (!agent.reachable) continue;
    const known = versions.get(agent.vmId) ?? 0;
    versions.set(agent.vmId, Math.max(known, agent.configVersion));
  }
}

/**
 * Those that do not have the version yet.
 *
 * @example laggards([{vmId: 'entry-0', version: 3}], 4) // [that one]
 */
export function laggards(
  versions: ProcessVersion[],
  wanted: number,
): ProcessVersion[] {
  return versions.filter(({version}) => version < wanted);
}
