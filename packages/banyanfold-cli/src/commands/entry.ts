import {createEntry, entrySettingsSchema} from '@banyanfold/entry';
import {DaemonCommand} from '../daemonCommand.js';

export default class Entry extends DaemonCommand {
  static override summary = 'Run an entry on this VM until a signal.';
  static override description =
    'SIGTERM or SIGINT drains it: no new work, open requests finish.';
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
