import {z} from 'zod';
import {publishedConfigSchema} from './types.js';

const INDENT = 2;

/**
 * The JSON Schema of what operators publish, as committed in `schema/`; for
 * editors and for checks before a publish. `npm run schema` writes it again.
 *
 * @example JSON.parse(renderSchema()).title
 */
export function renderSchema(): string {
  const schema = {
    title: 'What operators publish to banyanfold',
    ...z.toJSONSchema(publishedConfigSchema, {io: 'input'}),
  };
  return `${JSON.stringify(schema, null, INDENT)}\n`;
}
