import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, expect, it} from 'vitest';
import {runEndless} from '../endlessRun.js';

const SCENARIOS = [
  'head-lines, fast',
  'event, fast',
  'reports and orders, fast',
  'body, slow',
];

describe('runners that answer without end', () => {
  // Guards against processes that one runner ends, by their memory or by an
  // error that only the bundle has.
  it('end no process and hold no caller', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'soak-'));
    const verdicts = await runEndless({
      folder,
      scenarios: SCENARIOS,
      isTimed: false,
    });
    expect(verdicts.map(({scenario}) => scenario)).toEqual(SCENARIOS);
    expect(verdicts.flatMap(({violations}) => violations)).toEqual([]);
  });
});
