import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, expect, it} from 'vitest';
import {runPlannedStops} from '../plannedStopRun.js';

describe('entries that are stopped by turns', () => {
  // Guards against requests that arrive while a process ends and are cut off.
  it('cut off no call that a runner has', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'soak-'));
    const {violations, served} = await runPlannedStops({seed: 2, folder});
    expect(violations).toEqual([]);
    expect(served).toBeGreaterThan(0);
  });
});
