import {describe, expect, it} from 'vitest';
import {VirtualClock} from '../clock.js';
import {LineWriter} from '../lineWriter.js';

describe('LineWriter', () => {
  it('writes gathered lines together, and none twice', async () => {
    const clock = new VirtualClock();
    const written: string[] = [];
    const writer = new LineWriter({clock, write: text => written.push(text)});
    writer.add('event=a');
    writer.add('event=b');
    expect(written).toEqual([]);
    await clock.advance(10);
    writer.flush();
    expect(written).toEqual(['event=a\nevent=b\n']);
  });

  it('writes at once what grows long', () => {
    const written: string[] = [];
    const writer = new LineWriter({
      clock: new VirtualClock(),
      maxChars: 4,
      write: text => written.push(text),
    });
    writer.add('event=a');
    expect(written).toEqual(['event=a\n']);
  });
});
