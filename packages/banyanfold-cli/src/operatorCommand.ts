import {Flags} from '@oclif/core';
import {createVmListService, type Vm} from '@banyanfold/log';
import {createEntryClient, type EntryClient} from '@banyanfold/protocol';
import {EXIT_CODES} from './exitCodes.js';
import {BanyanfoldCommand} from './banyanfoldCommand.js';
import {
  loadSettings,
  operatorSettingsSchema,
  type OperatorSettings,
} from './settings.js';

const DEFAULT_SETTINGS_PATH = 'operator.jsonc';

/** An entry and a client for its control interface. */
export interface EntryConnection {
  vm: Vm;
  client: EntryClient;
}

/** Base class of the operator commands, with their settings and clients. */
export abstract class OperatorCommand extends BanyanfoldCommand {
  static override baseFlags = {
    settings: Flags.string({
      description: 'operator settings file',
      env: 'BANYANFOLD_OPERATOR_SETTINGS',
      default: DEFAULT_SETTINGS_PATH,
    }),
  };

  protected loadOperatorSettings(path: string): OperatorSettings {
    return loadSettings(path, operatorSettingsSchema).match(
      settings => settings,
      problems => this.fail(problems, EXIT_CODES.badInput),
    );
  }

  /** Returns the live entries of the platform's VM list with their clients. */
  protected async connectLiveEntries(
    settings: OperatorSettings,
  ): Promise<EntryConnection[]> {
    const list = await createVmListService({
      url: settings.platform.vmListUrl,
    }).read();
    if (list.isErr()) this.failUnreachable('VM list', list.error.message);
    const vms = list
      .map(value => value.vms)
      .unwrapOr([])
      .filter(vm => vm.role === 'entry' && vm.state === 'live');
    if (vms.length === 0) {
      this.failUnreachable('VM list', 'it contains no live entry');
    }
    const internalKey = this.operatorKey(settings);
    return vms.map(vm => ({
      vm,
      client: createEntryClient({host: vm.host, port: vm.port, internalKey}),
    }));
  }

  protected failUnreachable(peer: string, reason: string): never {
    this.fail(`${peer} can't be reached: ${reason}`, EXIT_CODES.unreachable);
  }

  protected operatorKey(settings: OperatorSettings): string {
    const key = process.env['BANYANFOLD_OPERATOR_KEY'] ?? settings.operatorKey;
    if (key) return key;
    return this.fail(
      'no operator key: set operatorKey in the settings or the environment ' +
        'variable BANYANFOLD_OPERATOR_KEY',
      EXIT_CODES.badInput,
    );
  }
}
