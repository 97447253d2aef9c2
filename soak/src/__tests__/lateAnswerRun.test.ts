import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, expect, it} from 'vitest';
import {runLateAnswers} from '../lateAnswerRun.js';

describe('runners that send responses a second time', () => {
  // Guards against calls that are refused or repeated although a runner runs them.
  it('make no call run twice, and none run that was refused', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'soak-'));
    const {violations, served} = await runLateAnswers({seed: 2, folder});
    expect(violations).toEqual([]);
    expect(served).toBeGreaterThan(0);
  });
});
