import {MemoryLogger} from '@banyanfold/core';
import {describe, expect, it} from 'vitest';
import {BatchAppender} from '../batchAppender.js';
import {StreamFollower, type DeliveredPage} from '../streamFollower.js';
import {FakeLog, PausableLog} from './fakeLog.js';
import {createTestDependencies, settle} from './testKit.js';

const RETENTION_MS = 60_000;

function createFixture(
  options: {pageLimit?: number; fromOffset?: number} = {},
) {
  const dependencies = createTestDependencies();
  const log = new FakeLog(dependencies.clock, RETENTION_MS);
  const gate = new PausableLog(log);
  const seen: string[] = [];
  const onPage = ({records, gap}: DeliveredPage) => {
    if (gap) seen.push(`gap ${gap.fromOffset}-${gap.toOffset}`);
    for (const {offset} of records) seen.push(String(offset));
  };
  const follower = new StreamFollower({
    ...dependencies,
    ...options,
    log: gate,
    stream: 'claims',
    onPage,
  });
  return {...dependencies, log, gate, follower, seen};
}

describe('StreamFollower', () => {
  it('delivers each record once, in order, whatever the pages', async () => {
    const {clock, log, follower, seen} = createFixture({pageLimit: 2});
    log.push('claims', 1, 2, 3, 4, 5);
    follower.start();
    await settle(clock, follower.caughtUp());
    await clock.advance(100);
    log.push('claims', 6);
    log.push('claims', 7);
    await settle(clock, follower.readNow());
    await clock.advance(1_000);
    expect(seen.join(' ')).toBe('1 2 3 4 5 6 7');
    expect(follower.position).toBe(8);
  });

  /*
   * The log holds a long poll while another caller reads up to the current end.
   * Waiting for the long poll would delay that caller by seconds.
   */
  it('reads now beside a long poll, and later calls share one read', async () => {
    const {clock, log, follower} = createFixture();
    follower.start();
    await settle(clock, follower.caughtUp());
    await clock.advance(100);
    const readsBefore = log.calls.read;
    const reads = [1, 2, 3].map(() => follower.readNow());
    await clock.advance(0);
    expect((await Promise.all(reads)).every(read => read.isOk())).toBe(true);
    expect(log.calls.read - readsBefore).toBe(2);
  });

  /*
   * The reads of a process are blocked while the log trims records. The gap
   * must be reported, because a fold that is unaware of it reaches wrong
   * verdicts.
   */
  it('reports a gap after a pause', async () => {
    const {clock, log, gate, follower, seen} = createFixture();
    follower.start();
    await settle(clock, follower.caughtUp());
    gate.holdReads();
    log.push('claims', 1, 2);
    await clock.advance(RETENTION_MS + 1_000);
    log.push('claims', 3);
    gate.resume();
    await clock.advance(20_000);
    expect(seen).toEqual(['gap 1-3', '3']);
  });

  /*
   * The log is unavailable for 50 s. Reads must be retried one at a time with
   * growing random delays, so that the recovered log is not overloaded.
   */
  it('backs off during an outage and continues after it', async () => {
    const {clock, log, follower, seen} = createFixture();
    log.isOut = true;
    log.push('claims', 1);
    follower.start();
    await clock.advance(50_000);
    expect(log.calls.read).toBeLessThan(50);
    expect((await follower.readNow())._unsafeUnwrapErr().code).toBe(
      'log-unavailable',
    );
    log.isOut = false;
    await clock.advance(5_000);
    expect(seen).toEqual(['1']);
  });

  it('reads nothing after it was stopped', async () => {
    const {clock, log, follower, seen} = createFixture();
    follower.start();
    await settle(clock, follower.caughtUp());
    follower.stop();
    log.push('claims', 1);
    await clock.advance(60_000);
    expect(seen).toEqual([]);
  });
});

describe('BatchAppender.append', () => {
  it('returns each caller its own offset from few calls', async () => {
    const {clock, log} = createFixture();
    const options = {log, clock, stream: 'claims', maxBatchSize: 3} as const;
    const appender = new BatchAppender({
      ...options,
      logger: new MemoryLogger(),
    });
    const appends = ['a', 'b', 'c', 'd'].map(value => appender.append(value));
    const results = await settle(clock, Promise.all(appends));
    expect(results.map(result => result._unsafeUnwrap())).toEqual([1, 2, 3, 4]);
    expect(log.calls.append).toBe(2);
  });

  it('has one call in flight, and returns its result to the whole batch', async () => {
    const {clock, log} = createFixture();
    const appender = new BatchAppender({
      log,
      clock,
      logger: new MemoryLogger(),
      stream: 'claims',
    });
    log.delayMs = 100;
    log.faults.push('lost-after', undefined);
    const first = [appender.append('a'), appender.append('b')];
    await clock.advance(50);
    const second = appender.append('c');
    await clock.advance(50);
    expect(log.calls.append).toBe(1);
    const results = await settle(clock, Promise.all([...first, second]));
    const seen = results.map(result =>
      result.unwrapOr(result.isErr() ? -1 : 0),
    );
    expect(seen).toEqual([-1, -1, 3]);
  });

  it('refuses at once when too many appends are pending', async () => {
    const {clock, log} = createFixture();
    const options = {log, clock, stream: 'claims', maxPending: 1} as const;
    const appender = new BatchAppender({
      ...options,
      logger: new MemoryLogger(),
    });
    void appender.append('a');
    const result = await appender.append('b');
    expect(result._unsafeUnwrapErr().code).toBe('log-unavailable');
  });
});
