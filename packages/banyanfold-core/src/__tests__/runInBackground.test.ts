import {describe, expect, it} from 'vitest';
import {countErrors} from '../countErrors.js';
import {MemoryLogger} from '../logger.js';
import {Metrics} from '../metrics.js';
import {runInBackground} from '../runInBackground.js';

describe('runInBackground', () => {
  // Guards against a process that ends by work that nobody awaits.
  it.each([
    ['rejects', () => Promise.reject(new TypeError('Invalid URL'))],
    [
      'throws',
      () => {
        throw new TypeError('Invalid URL');
      },
    ],
  ])('logs and counts work that %s', async (_what, work) => {
    const memory = new MemoryLogger();
    const metrics = new Metrics();
    const logger = countErrors(memory, metrics).child({node: 'entry-1'});
    runInBackground({logger, step: 'report', peer: 'i-1'}, work);
    await Promise.resolve();
    expect(memory.lines).toEqual([
      expect.stringMatching(
        /^level=error event=background-failed node=entry-1 step=report peer=i-1 error="TypeError: Invalid URL/,
      ),
    ]);
    const event = 'background-failed';
    expect(metrics.counterValue('errors_total', {event})).toBe(1);
  });
});
