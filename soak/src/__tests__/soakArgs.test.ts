import {describe, expect, it} from 'vitest';
import {readSoakArgs} from '../soakArgs.js';

describe('readSoakArgs', () => {
  it('reads the seeds and what is played', () => {
    const args = readSoakArgs(['--herds', '--from', '7', '--seeds', '2']);
    expect(args._unsafeUnwrap()).toMatchObject({
      seeds: [7, 8],
      herds: true,
      oddEntries: false,
      versions: false,
    });
  });

  // Guards against a stack trace in place of the usage.
  it.each([
    [['--help'], 'help'],
    [['--unknown'], "Unknown option '--unknown'"],
    [['stray'], "Unexpected argument 'stray'"],
    [['--seeds', 'many'], '--seeds is no number'],
    [['--parallel', '99'], '--parallel is not between 1 and 16'],
  ])('answers %j', (words, answer) => {
    const read = readSoakArgs(words);
    expect(read.isErr() ? read.error : read.value).toContain(answer);
  });
});
