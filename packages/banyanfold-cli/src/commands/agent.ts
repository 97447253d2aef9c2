import {agentSettingsSchema, createAgent} from '@banyanfold/agent';
import {DaemonCommand} from '../daemonCommand.js';

export default class Agent extends DaemonCommand {
  static override summary =
    'Run the agent of a backend server until a stop signal.';
  static override description =
    'SIGTERM or SIGINT drains it: it accepts no new work and finishes running requests.';
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
