import {describe, expect, it} from 'vitest';
import {compileConfig, resolveRequest, visibleNames} from '../compileConfig.js';
import {matchesLabels} from '../labels.js';
import type {LabelSelector} from '../types.js';
import {exampleConfig} from './exampleConfig.js';

function resolve(
  caller: string,
  desk: string,
  requestedName: string,
  headers: Record<string, string> = {},
): string {
  const attributes = {caller, desk, requestedName, headers};
  return resolveRequest(exampleConfig(), attributes).match(
    ({selector, kind, artifact, modelArtifact}) =>
      [selector.name, kind, artifact, modelArtifact].join(' '),
    ({code}) => code,
  );
}

describe('resolveRequest', () => {
  it.each([
    ['vanua', '', 'drafting', 'drafts model drafting@2 drafting@2'],
    ['vanua', '', 'drafting@1', 'drafts model drafting@1 drafting@1'],
    ['vanua', '', 'drafters', 'drafts model drafting@1 drafting@1'],
    ['vanua', 'claims', 'desk', 'counter model desk@1 desk@1'],
    ['any', 'claims', 'suva', 'counter adapter desk@1+suva@3 desk@1'],
    ['any', 'claims', 'suva@3', 'counter adapter desk@1+suva@3 desk@1'],
    ['any', 'claims', 'desk@1+suva@3', 'counter adapter desk@1+suva@3 desk@1'],
    ['any', 'claims', 'lodging', 'counter service lodging '],
    ['any', 'claims', 'drafting', 'forbidden'],
    ['any', '', 'drafting', 'forbidden'],
    ['any', '', 'nothing', 'forbidden'],
    ['vanua', '', 'desk', 'forbidden'],
    ['vanua', '', 'nothing', 'unknown-name'],
    ['vanua', '', 'drafting@9', 'unknown-name'],
    ['vanua', '', 'unused', 'no-selector'],
  ])('%s at desk "%s" requests %s: %s', (caller, desk, name, expected) => {
    expect(resolve(caller, desk, name)).toBe(expected);
  });

  it('uses the first selector that matches', () => {
    const urgent = resolve('vanua', '', 'drafting', {'x-urgent': 'yes'});
    expect(urgent).toBe('urgent-drafts model drafting@2 drafting@2');
  });
});

describe('visibleNames', () => {
  it.each([
    ['vanua', '', 'drafting drafters'],
    ['vanua', 'claims', 'desk suva drafting drafters'],
    ['any', '', ''],
  ])('of %s at desk "%s"', (caller, desk, names) => {
    const seen = visibleNames(exampleConfig(), {caller, desk});
    expect(seen.join(' ')).toBe(names);
  });
});

describe('compileConfig', () => {
  it('lists each artifact that a selector covers, with its most urgent priority', () => {
    const rows = compileConfig(exampleConfig())
      .artifacts()
      .map(row => Object.values(row).join(' '));
    expect(rows).toMatchInlineSnapshot(`
      [
        "drafting@1 drafting@1 15032385536 1 ",
        "drafting@2 drafting@2 15032385536 1 ",
        "desk@1 desk@1 15032385536 0 desk",
        "desk@1+suva@3 desk@1 1073741824 0 desk",
      ]
    `);
  });
});

describe('matchesLabels', () => {
  const labels = {use: 'desk', tier: 'counter'};
  it.each<[string, Partial<LabelSelector>, boolean]>([
    ['an empty selector', {}, true],
    ['equal', {matchLabels: {use: 'desk'}}, true],
    ['one of two', {matchLabels: {use: 'desk', tier: 'phone'}}, false],
    ['In', expression('use', 'In', ['draft', 'desk']), true],
    ['In, absent', expression('zone', 'In', ['a']), false],
    ['NotIn', expression('use', 'NotIn', ['desk']), false],
    ['NotIn, absent', expression('zone', 'NotIn', ['a']), true],
    ['Exists', expression('tier', 'Exists'), true],
    ['Exists, inherited', expression('constructor', 'Exists'), false],
    ['DoesNotExist', expression('tier', 'DoesNotExist'), false],
  ])('%s', (_name, selector, expected) => {
    const whole = {matchLabels: {}, matchExpressions: [], ...selector};
    expect(matchesLabels(whole, labels)).toBe(expected);
  });
});

function expression(
  key: string,
  operator: LabelSelector['matchExpressions'][number]['operator'],
  values: string[] = [],
): Partial<LabelSelector> {
  return {matchExpressions: [{key, operator, values}]};
}
