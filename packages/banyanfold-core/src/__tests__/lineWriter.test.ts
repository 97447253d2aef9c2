import {describe, expect, it} from 'vitest';
import {VirtualClock} from '../clock.js';
import {LineWriter} from '../lineWriter.js';

describe('LineWriter', () => {
  it('writes gathered lines together, and none twice', async () => {
    const clock = new VirtualClock();
    const written: string[] = [];
    const writer = new LineWriter({
      clock,
      write: (text, done) => {
        written.push(text);
        done();
      },
    });
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

  it('goes on when nobody reads, and tells how many lines were lost', () => {
    // The process serves on and its memory stays bounded. The reader stops, so
    // that a write isn't over; lines are gathered, then dropped and counted.
    const written: string[] = [];
    let finish = () => {};
    const writer = new LineWriter({
      clock: new VirtualClock(),
      maxChars: 4,
      maxWaitingChars: 20,
      write: (text, done) => {
        written.push(text);
        finish = done;
      },
    });
    for (let i = 1; i <= 5; i++) writer.add(`event=n${i}`);
    expect(written).toEqual(['event=n1\n']);
    finish();
    expect(written[1]).toBe(
      'event=log-lines-dropped lines=2\nevent=n2\nevent=n3\n',
    );
  });
});
