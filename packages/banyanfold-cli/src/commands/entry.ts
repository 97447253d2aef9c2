import {createEntry, entrySettingsSchema} from '@banyanfold/entry';
import {DaemonCommand} from '../daemonCommand.js';

export default class Entry extends DaemonCommand {
  static override summary = 'Run an entry on this VM until a stop signal.';
  static override description =
    'SIGTERM or SIGINT drains it: it accepts no new work and finishes open requests.';
  static override examples = ['<%= config.bin %> entry --settings entry.jsonc'];

  async run(): Promise<void> {
    const {flags} = await this.parse(Entry);
    const settings = this.loadDaemonSettings(
      flags.settings,
      entrySettingsSchema,
    );
    await this.runDaemon(settings.vmId, logger =>
      createEntry(settings, {logger}),
    );
  }
}
