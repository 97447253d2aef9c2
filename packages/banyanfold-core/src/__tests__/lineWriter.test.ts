import {describe, expect, it} from 'vitest';
import {VirtualClock} from '../clock.js';
import {DEFAULT_END_TIMEOUT_MS, LineWriter} from '../lineWriter.js';

describe('LineWriter', () => {
  it('writes buffered lines in one batch, and none twice', async () => {
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

  it('writes long text at once', () => {
    const written: string[] = [];
    const writer = new LineWriter({
      clock: new VirtualClock(),
      maxChars: 4,
      write: text => written.push(text),
    });
    writer.add('event=a');
    expect(written).toEqual(['event=a\n']);
  });

  it('drops lines beyond the limit and reports their number', () => {
    // Guards against unbounded memory when the reader stops and a write doesn't
    // complete: lines are buffered up to the limit, then dropped and counted.
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

  it('writes lines added during a slow write without waiting for more', async () => {
    // Guards against an idle process that writes its newest lines late or never. A
    // write takes longer than lines are buffered, so their timer expires during
    // the write, and no further line starts another timer.
    const clock = new VirtualClock();
    const {written, finish, write} = createSlowWriter();
    const writer = new LineWriter({clock, write});
    writer.add('event=first');
    await clock.advance(10);
    writer.add('event=second');
    await clock.advance(10);
    finish();
    await clock.advance(10);
    expect(written).toEqual(['event=first\n', 'event=second\n']);
  });

  it('writes the buffered lines before a process exits', async () => {
    // Guards against the loss of the last line of a stopped process. An earlier
    // line is still being written when the last one is logged, and the process
    // exits before that write completes.
    const clock = new VirtualClock();
    const {written, finish, write} = createSlowWriter();
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

  it('ends after the timeout if nobody reads', async () => {
    // Guards against a process that can't stop. Nobody reads its log, the pipe is
    // full, and the pending write never completes.
    const clock = new VirtualClock();
    const {write} = createSlowWriter();
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

/** Returns a `write` whose calls complete only through `finish`. */
function createSlowWriter() {
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
