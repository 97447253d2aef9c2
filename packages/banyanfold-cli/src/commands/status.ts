import {Flags} from '@oclif/core';
import type {EntryStatus} from '@banyanfold/protocol';
import {OperatorCommand, type EntryConnection} from '../operatorCommand.js';
import {renderTable} from '../table.js';

interface EntryStatusResult {
  vmId: string;
  status?: EntryStatus;
  error?: string;
}

export default class Status extends OperatorCommand {
  static override summary =
    'Show entries, agents, their loaded artifacts and their configuration version.';
  static override examples = [
    '<%= config.bin %> status',
    '<%= config.bin %> status --json',
  ];
  static override flags = {
    json: Flags.boolean({description: 'print JSON'}),
  };

  async run(): Promise<void> {
    const {flags} = await this.parse(Status);
    const settings = this.loadOperatorSettings(flags.settings);
    const entries = await this.connectLiveEntries(settings);
    const results = await Promise.all(entries.map(fetchStatus));
    if (flags.json) {
      this.log(JSON.stringify(results, undefined, 2));
      return;
    }
    this.log(renderEntries(results));
    this.log('');
    this.log(renderAgents(results));
  }
}

async function fetchStatus({
  vm,
  client,
}: EntryConnection): Promise<EntryStatusResult> {
  try {
    return {vmId: vm.vmId, status: await client.status.query()};
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return {vmId: vm.vmId, error: reason};
  }
}

function renderEntries(results: EntryStatusResult[]): string {
  const header = ['ENTRY', 'DOMAIN', 'CONFIG', 'STATE', 'OPEN', 'PLANNER'];
  const rows = results.map(({vmId, status, error}) => {
    if (!status) return [vmId, '', '', `unreachable: ${error}`, '', ''];
    const state = status.leaving
      ? 'leaving'
      : status.ready
        ? 'ready'
        : 'starting';
    return [
      vmId,
      status.failureDomain,
      String(status.configVersion),
      state,
      String(status.openRequests),
      status.plannerEpoch > 0 ? `epoch ${status.plannerEpoch}` : '',
    ];
  });
  return renderTable(header, rows);
}

function renderAgents(results: EntryStatusResult[]): string {
  const header = ['AGENT', 'SEEN', 'CONFIG', 'RUNNING', 'QUEUED', 'HOLDS'];
  const first = results.find(result => result.status)?.status;
  const rows = (first?.agents ?? []).map(agent => [
    agent.vmId,
    agent.reachable ? `${Math.round(agent.ageMs)} ms ago` : 'unreachable',
    String(agent.configVersion),
    String(agent.running),
    String(agent.queued),
    agent.artifacts.join(' '),
  ]);
  return renderTable(header, rows);
}
