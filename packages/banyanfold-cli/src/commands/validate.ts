import {Args} from '@oclif/core';
import {parseConfig} from '@banyanfold/config';
import {renderProblems} from '@banyanfold/core';
import {EXIT_CODES} from '../exitCodes.js';
import {BanyanfoldCommand} from '../banyanfoldCommand.js';
import {readText} from '../settings.js';

export default class Validate extends BanyanfoldCommand {
  static override summary = 'Check a configuration without publishing it.';
  static override examples = ['<%= config.bin %> validate published.jsonc'];
  static override args = {
    file: Args.string({description: 'configuration file', required: true}),
  };

  async run(): Promise<void> {
    const {args} = await this.parse(Validate);
    const text = readText(args.file).match(
      value => value,
      problem => this.fail(problem, EXIT_CODES.badInput),
    );
    const parsed = parseConfig(args.file, text);
    if (parsed.isErr()) {
      this.fail(renderProblems(parsed.error), EXIT_CODES.badInput);
    }
    const {config, warnings} = parsed.value;
    for (const warning of warnings) this.warn(renderProblems([warning]));
    this.log(
      `${args.file}: ok, ${config.models.length} models, ` +
        `${config.adapters.length} adapters, ` +
        `${config.selectors.length} selectors`,
    );
  }
}
