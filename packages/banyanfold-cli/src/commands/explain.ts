import {Args, Flags} from '@oclif/core';
import {OperatorCommand} from '../operatorCommand.js';
import {renderTable} from '../table.js';

export default class Explain extends OperatorCommand {
  static override summary =
    'Show the selector that a request matches and its candidate runners.';
  static override examples = [
    '<%= config.bin %> explain claims --caller counter --desk counter',
  ];
  static override args = {
    name: Args.string({description: 'requested model name', required: true}),
  };
  static override flags = {
    caller: Flags.string({description: 'caller name', required: true}),
    desk: Flags.string({description: 'desk', default: ''}),
    header: Flags.string({
      description: 'request header as name=value; may be repeated',
      multiple: true,
      default: [],
    }),
    json: Flags.boolean({description: 'print JSON'}),
  };

  async run(): Promise<void> {
    const {args, flags} = await this.parse(Explain);
    const settings = this.loadOperatorSettings(flags.settings);
    const [entry] = await this.connectLiveEntries(settings);
    if (!entry) return;
    const result = await entry.client.explain
      .query({
        caller: flags.caller,
        desk: flags.desk,
        requestedName: args.name,
        headers: parseHeaders(flags.header),
      })
      .catch((error: Error) =>
        this.failUnreachable(entry.vm.vmId, error.message),
      );
    if (flags.json) {
      this.log(JSON.stringify(result, undefined, 2));
      return;
    }
    this.log(`selector  ${result.selector || '(none)'}`);
    this.log(`artifact  ${result.artifact || '(none)'}`);
    this.log(`decision  ${result.reason}\n`);
    const rows = result.candidates.map(candidate => [
      candidate.vmId,
      candidate.score.toFixed(1),
      candidate.reason,
    ]);
    this.log(renderTable(['RUNNER', 'SCORE MS', 'REASON'], rows));
  }
}

function parseHeaders(pairs: string[]): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const pair of pairs) {
    const separatorIndex = pair.indexOf('=');
    if (separatorIndex <= 0) continue;
    headers[pair.slice(0, separatorIndex).toLowerCase()] = pair.slice(
      separatorIndex + 1,
    );
  }
  return headers;
}
