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
    'Print the settings of a process and their defaults as a JSON Schema.';
  static override examples = ['<%= config.bin %> defaults entry'];
  static override args = {
    role: Args.string({
      description: 'role of the process',
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
