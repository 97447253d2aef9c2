import {readFileSync} from 'node:fs';
import {renderProblems} from '@banyanfold/core';
import {describe, expect, it} from 'vitest';
import {parseConfig} from '../parseConfig.js';
import {renderSchema} from '../renderSchema.js';

const TEXT = `{
  // The desk's models.
  "models": [
    {"name": "desk", "version": "1", "weightBytes": 900},
    {"name": "desk", "version": "1", "weightBytes": 200}
  ],
  "adapters": [
    {"name": "suva", "version": "1", "model": "desk", "modelVersion": "2", "weightBytes": 1},
    {"name": "lab", "version": "1", "model": "none", "modelVersion": "2", "weightBytes": 1}
  ],
  "services": [{"name": "desk"}],
  "groups": [
    {"name": "all", "labelSelector": {}},
    {"name": "empty", "labelSelector": {"matchLabels": {"a": "b"}}}
  ],
  "selectors": [
    {"name": "one", "group": "all"},
    {"name": "two", "group": "al"},
    {"name": "two", "group": "all"},
  ]
}`;

const capacity = {totalBytes: 800, largestServerBytes: 500};

describe('parseConfig', () => {
  it('reports each wrong reference with its line and column', () => {
    const result = parseConfig('fold.jsonc', TEXT);
    expect(renderProblems(result._unsafeUnwrapErr())).toMatchInlineSnapshot(`
      "fold.jsonc:5:33: models[1].version: "desk@1" is listed twice; remove one
      fold.jsonc:19:14: selectors[2].name: "two" is listed twice; remove one
      fold.jsonc:11:25: services[0].name: "desk" is used in models as well; rename one
      fold.jsonc:8:71: adapters[0].modelVersion: no model "desk@2" is listed
      fold.jsonc:9:46: adapters[1].model: no model "none@2" is listed
      fold.jsonc:18:30: selectors[1].group: no group "al" is listed"
    `);
  });

  it('warns about empty groups and models that do not fit', () => {
    const text = TEXT.replace(/.*"weightBytes": (200|1)\}.*\n/g, '')
      .replace('900},', '900}')
      .replace('{"name": "desk"}', '')
      .replace(/.*"two".*\n/g, '');
    const {warnings} = parseConfig('fold.jsonc', text, {
      capacity,
    })._unsafeUnwrap();
    expect(renderProblems(warnings)).toMatchInlineSnapshot(`
      "fold.jsonc:11:40: groups[1].labelSelector: no model, adapter or service fits group "empty"
      fold.jsonc:4:53: models[0].weightBytes: larger than the largest backend server (500 bytes)
      fold.jsonc:3:13: models: one copy of each needs 900 bytes; there are 800"
    `);
  });
});

describe('renderSchema', () => {
  it('equals the committed schema (`npm run schema` updates it)', () => {
    const file = '../../schema/published-config.schema.json';
    const committed = readFileSync(new URL(file, import.meta.url), 'utf8');
    expect(committed).toBe(renderSchema());
  });
});
