import {describe, expect, it} from 'vitest';
import {renderLine} from '../logger.js';
import {Metrics} from '../metrics.js';
import {bearerKey, secretsEqual} from '../secrets.js';

describe('renderLine', () => {
  it.each([
    [{event: 'route', ms: 3}, 'event=route ms=3'],
    [{event: 'a', reason: 'no copy'}, 'event=a reason="no copy"'],
    [{event: 'a', left: undefined, gone: null}, 'event=a'],
    [{event: 'a', text: 'line\nbreak'}, 'event=a text="line\\nbreak"'],
    [{event: 'a', empty: ''}, 'event=a empty=""'],
  ])('renders %j', (fields, line) => {
    expect(renderLine(fields)).toBe(line);
  });
});

describe('Metrics', () => {
  it('renders the text format', () => {
    const metrics = new Metrics();
    metrics.count('requests_total', {outcome: 'not-run'});
    metrics.gauge('open_requests', () => 2);
    metrics.observeMs('first_token_ms', 12.5, {selector: 'counter'});
    expect(metrics.render()).toMatchSnapshot();
  });
});

describe('secretsEqual', () => {
  it.each([
    ['key', 'key', true],
    ['key', 'kex', false],
    ['key', 'longer key', false],
    ['', 'key', false],
  ])('compares %j with %j', (given, expected, isEqual) => {
    expect(secretsEqual(given, expected)).toBe(isEqual);
  });

  it.each([
    ['Bearer abc', 'abc'],
    ['Basic abc', undefined],
    [undefined, undefined],
  ])('reads the key of %j', (header, key) => {
    expect(bearerKey(header)).toBe(key);
  });
});
