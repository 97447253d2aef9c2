import {describe, expect, it} from 'vitest';
import {VirtualClock} from '../clock.js';
import {DEFAULT_END_TIMEOUT_MS, LineWriter} from '../lineWriter.js';

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
      maxPendingChars: 20,
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

  it('writes what came during a slow write without waiting for more', async () => {
    // A quiet process shows its newest lines late or never. A write takes longer
    // than lines are gathered; their turn comes while it is under way, and no
    // further line comes to give them another.
    const clock = new VirtualClock();
    const {written, finish, write} = slowWrites();
    const writer = new LineWriter({clock, write});
    writer.add('event=first');
    await clock.advance(10);
    writer.add('event=second');
    await clock.advance(10);
    finish();
    await clock.advance(10);
    expect(written).toEqual(['event=first\n', 'event=second\n']);
  });

  it('writes the rest before a process ends', async () => {
    // The log of a process that stopped lacks its last line. An earlier line is
    // still being written when it is logged, and the process ends before that
    // write is over.
    const clock = new VirtualClock();
    const {written, finish, write} = slowWrites();
    const writer = new LineWriter({clock, write});
    writer.add('event=drain-finished');
    await clock.advance(10);
    writer.add('event=stopped');
    const ended = writer.end();
    finish();
    await clock.advance(0);
    finish();
    await ended;
    expect(written).toEqual(['event=drain-finished\n', 'event=stopped\n']);
  });

  it('ends without its reader', async () => {
    // A process can't stop. Nobody reads its log, the pipe is full, and the
    // write under way is never over.
    const clock = new VirtualClock();
    const {write} = slowWrites();
    const writer = new LineWriter({clock, write});
    writer.add('event=stopped');
    let isEnded = false;
    void writer.end().then(() => (isEnded = true));
    await clock.advance(DEFAULT_END_TIMEOUT_MS - 1);
    expect(isEnded).toBe(false);
    await clock.advance(1);
    expect(isEnded).toBe(true);
  });
});

/** A reader that takes each write when it is told to. */
function slowWrites() {
  const written: string[] = [];
  const state = {
    written,
    finish: () => {},
    write: (text: string, done: () => void) => {
      written.push(text);
      state.finish = done;
    },
  };
  return {...state, finish: () => state.finish()};
}
