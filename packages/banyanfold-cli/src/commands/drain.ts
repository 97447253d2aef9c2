import {Args, Flags} from '@oclif/core';
import {createVmListService, type Vm} from '@banyanfold/log';
import {createAgentClient, createEntryClient} from '@banyanfold/protocol';
import {EXIT_CODES} from '../exitCodes.js';
import {OperatorCommand} from '../operatorCommand.js';

const DRAIN_BY_ROLE = {
  entry: async (vm: Vm, internalKey: string): Promise<number> => {
    const client = createEntryClient({
      host: vm.host,
      port: vm.port,
      internalKey,
    });
    return (await client.drain.mutate()).openRequests;
  },
  agent: async (vm: Vm, internalKey: string): Promise<number> => {
    const client = createAgentClient({
      host: vm.host,
      port: vm.port,
      internalKey,
    });
    return (await client.drain.mutate()).running;
  },
};

export default class Drain extends OperatorCommand {
  static override summary =
    'Drain a VM: it accepts no new work and finishes its open requests.';
  static override examples = ['<%= config.bin %> drain agent-2'];
  static override args = {
    vm: Args.string({description: 'VM id, as in the VM list', required: true}),
  };
  static override flags = {
    'internal-key': Flags.string({
      description:
        "internal key of the processes; needed only for an agent's VM",
      env: 'BANYANFOLD_INTERNAL_KEY',
      default: '',
    }),
  };

  async run(): Promise<void> {
    const {args, flags} = await this.parse(Drain);
    const settings = this.loadOperatorSettings(flags.settings);
    const list = await createVmListService({
      url: settings.platform.vmListUrl,
    }).read();
    if (list.isErr()) this.failUnreachable('VM list', list.error.message);
    const vms = list.map(value => value.vms).unwrapOr([]);
    const vm = vms.find(candidate => candidate.vmId === args.vm);
    if (!vm) {
      const vmIds = vms.map(candidate => candidate.vmId).join(', ');
      this.fail(
        `no VM is named "${args.vm}"; the list contains: ${vmIds}`,
        EXIT_CODES.badInput,
      );
    }
    const key = flags['internal-key'] || this.operatorKey(settings);
    const openCount = await DRAIN_BY_ROLE[vm.role](vm, key).catch(
      (error: Error) => this.failUnreachable(vm.vmId, error.message),
    );
    this.log(`${vm.vmId} is draining; ${openCount} requests in progress`);
  }
}
