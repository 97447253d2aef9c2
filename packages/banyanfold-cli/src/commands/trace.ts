import {Args} from '@oclif/core';
import {traceRequest} from '@banyanfold/core';
import {EXIT_CODES} from '../exitCodes.js';
import {BanyanfoldCommand} from '../banyanfoldCommand.js';
import {readText} from '../settings.js';

export default class Trace extends BanyanfoldCommand {
  static override summary =
    'Print the log lines of one request from several log files.';
  static override description =
    'Give the request id and the log files of the processes that may have ' +
    'handled it. Exit code 2 if no log contains it.';
  static override examples = [
    '<%= config.bin %> trace 9c41d07be2a35f68 entry-*.log',
  ];
  static override strict = false;
  static override args = {
    request: Args.string({description: 'request id', required: true}),
  };

  async run(): Promise<void> {
    const {args, argv} = await this.parse(Trace);
    const files = argv.slice(1).map(String);
    if (files.length === 0) {
      this.fail('give the log files to read', EXIT_CODES.badInput);
    }
    const logs = files.map(file =>
      readText(file).match(
        text => text,
        problem => this.fail(problem, EXIT_CODES.badInput),
      ),
    );
    const lines = traceRequest(logs, args.request);
    if (lines.length === 0) {
      this.fail(`no log contains request ${args.request}`, EXIT_CODES.badInput);
    }
    for (const {time, node, text} of lines) this.log(`${time} ${node} ${text}`);
  }
}
