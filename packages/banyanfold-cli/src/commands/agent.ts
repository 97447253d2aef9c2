import {agentSettingsSchema, createAgent} from '@banyanfold/agent';
import {DaemonCommand} from '../daemonCommand.js';

export default class Agent extends DaemonCommand {
  static override summary =
    'Run the agent beside a backend server until a signal.';
  static override description =
    'SIGTERM or SIGINT drains it: no new work, requests in progress finish.';
  static override examples = ['<%= config.bin %> agent --settings agent.jsonc'];

  async run(): Promise<void> {
    const {flags} = await this.parse(Agent);
    const settings = this.loadDaemonSettings(
      flags.settings,
      agentSettingsSchema,
    );
    await this.runDaemon(settings.vmId, logger =>
      createAgent(settings, {logger}),
    );
  }
}
