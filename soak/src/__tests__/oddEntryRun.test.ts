import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, expect, it} from 'vitest';
import {runOddEntries} from '../oddEntryRun.js';

describe('odd records of another writer', () => {
  // Guards against a record that ends each entry that reads it, or after which
  // entries no longer follow the store.
  it('end no process, lose no call and hide no change', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'soak-'));
    const verdict = await runOddEntries({seed: 5, folder, lengthMs: 5_000});
    expect(verdict.violations).toEqual([]);
    expect(verdict.forms).toBeGreaterThan(0);
    expect(verdict.whole).toBe(verdict.calls);
  });
});
