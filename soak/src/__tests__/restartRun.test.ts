import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, expect, it} from 'vitest';
import {runRestarts} from '../restartRun.js';

describe('entries that end together', () => {
  // Guards against entries that each start with the budget of all of them.
  it('keep to the retry budget when they start again', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'soak-'));
    const {violations, served} = await runRestarts({seed: 3, folder});
    expect(violations).toEqual([]);
    expect(served).toBeGreaterThan(0);
  });
});
