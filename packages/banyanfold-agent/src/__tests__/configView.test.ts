import {publishedConfigSchema} from '@banyanfold/config';
import {describe, expect, it} from 'vitest';
import {isUnpublished} from '../control/configView.js';

const LABELS = {desk: 'counter'};
const BODY = publishedConfigSchema.parse({
  models: [
    {name: 'claims', version: '1', labels: LABELS, weightBytes: 1},
    {name: 'spare', version: '1', weightBytes: 1},
  ],
  adapters: [
    {
      name: 'suva',
      version: '1',
      model: 'claims',
      modelVersion: '1',
      labels: LABELS,
      weightBytes: 1,
    },
  ],
  groups: [{name: 'counter', labelSelector: {matchLabels: LABELS}}],
  selectors: [{name: 'all', group: 'counter'}],
});
const STATE = {version: 1, foldedThrough: 1, body: BODY};

describe('isUnpublished', () => {
  // The last copy of an artifact may be retired only if no request can use the
  // artifact. If one that is listed but matched by no selector counted as
  // published, its memory would never be freed.
  it.each([
    ['claims@1', false],
    ['claims@1+suva@1', false],
    ['claims@2', true],
    ['spare@1', true],
  ])('of %s is %s', (artifact, expected) => {
    expect(isUnpublished(STATE, artifact)).toBe(expected);
  });

  it('is false while no configuration is known', () => {
    expect(isUnpublished(undefined, 'claims@1')).toBe(false);
  });
});
