import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, expect, it} from 'vitest';
import {REGRESSIONS} from '../regressions.js';
import {runSeed} from '../runSeed.js';

/** Some six faults, a part of them at the same time. */
const LENGTH_MS = 5_000;

describe('a short soak', () => {
  // An even seed has a request that crashes the runners that run it; one that is
  // divisible by 3 has entries with the settings for high load.
  const seeds = [1, 2, 3, ...REGRESSIONS.slice(-3).map(({seed}) => seed)];

  it.each(seeds)('breaks no rule with seed %i', async seed => {
    const folder = mkdtempSync(join(tmpdir(), 'soak-'));
    const verdict = await runSeed({
      seed,
      lengthMs: LENGTH_MS,
      folder,
      isTimed: false,
    });
    expect(verdict.violations).toEqual([]);
    expect(verdict.served).toBeGreaterThan(0);
  });
});
