import {Args} from '@oclif/core';
import {agentSettingsSchema} from '@banyanfold/agent';
import {entrySettingsSchema} from '@banyanfold/entry';
import {BanyanfoldCommand} from '../banyanfoldCommand.js';
import {z} from 'zod';

const SCHEMAS = {
  entry: entrySettingsSchema,
  agent: agentSettingsSchema,
} as const;

type Role = keyof typeof SCHEMAS;

export default class Defaults extends BanyanfoldCommand {
  static override summary =
    'Print every setting of a process as a JSON Schema with its default.';
  static override examples = ['<%= config.bin %> defaults entry'];
  static override args = {
    role: Args.string({
      description: 'which process',
      options: Object.keys(SCHEMAS),
      required: true,
    }),
  };

  async run(): Promise<void> {
    const {args} = await this.parse(Defaults);
    const schema = z.toJSONSchema(SCHEMAS[args.role as Role], {io: 'input'});
    this.log(JSON.stringify(schema, undefined, 2));
  }
}
