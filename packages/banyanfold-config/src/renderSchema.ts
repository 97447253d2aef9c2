import {z} from 'zod';
import {publishedConfigSchema} from './types.js';

const INDENT = 2;

/**
 * Renders the JSON Schema of the published configuration, for editors and for
 * checks before a publish. `npm run schema` updates the copy in `schema/`.
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
