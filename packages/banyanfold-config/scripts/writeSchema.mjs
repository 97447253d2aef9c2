import {mkdirSync, writeFileSync} from 'node:fs';
import {renderSchema} from '../lib/renderSchema.js';

const folder = new URL('../schema/', import.meta.url);
mkdirSync(folder, {recursive: true});
writeFileSync(new URL('published-config.schema.json', folder), renderSchema());
