import {VirtualClock} from '@banyanfold/core';
import {describe, expect, it} from 'vitest';
import {
  LogState,
  createRandom,
  type LogFaults,
  type LogOptions,
} from '../index.js';
import {outcomeAfter} from './helpers.js';

function setUp(options: Partial<LogOptions> = {}) {
  const clock = new VirtualClock(0);
  const log = new LogState(options, {clock, random: createRandom(1)});
  return {clock, log};
}

async function valuesIn(log: LogState, fromOffset = 1): Promise<unknown[]> {
  log.faults.set({outage: 'none', requestDelayMs: 0, answerDelayMs: 0});
  const page = (await log.read('claims', {fromOffset}))._unsafeUnwrap();
  return page.records.map(({value}) => value);
}

describe('LogState', () => {
  it('counts the offsets of each stream from 1', async () => {
    const {log} = setUp();
    await log.append('fences', ['x']);
    const answer = await log.append('claims', ['a', 'b']);
    expect(answer._unsafeUnwrap()).toEqual({
      firstOffset: 1,
      lastOffset: 2,
      appendedAtMs: 0,
    });
    const page = await log.read('claims', {fromOffset: 2, limit: 5});
    expect(page._unsafeUnwrap()).toEqual({
      firstOffset: 1,
      nextOffset: 3,
      nowMs: 0,
      records: [{offset: 2, appendedAtMs: 0, value: 'b'}],
    });
  });

  it('drops old records and keeps counting', async () => {
    const {clock, log} = setUp({retentionMs: 1000});
    await log.append('claims', ['old']);
    await clock.advance(900);
    await log.append('claims', ['new']);
    await clock.advance(200);
    const page = (await log.read('claims', {fromOffset: 1}))._unsafeUnwrap();
    expect(page).toMatchObject({firstOffset: 2, nextOffset: 3});
    await clock.advance(5000);
    const empty = (await log.read('claims', {fromOffset: 1}))._unsafeUnwrap();
    expect(empty).toMatchObject({firstOffset: 3, nextOffset: 3, records: []});
  });

  it('holds a long poll until a record comes', async () => {
    const {clock, log} = setUp();
    const poll = log.read('claims', {fromOffset: 1, waitMs: 1000});
    expect(await outcomeAfter(clock, 500, poll)).toBe('pending');
    await log.append('claims', ['a']);
    expect((await poll)._unsafeUnwrap().records).toHaveLength(1);
  });

  it('ends a long poll empty after its time, and with 503 at an outage', async () => {
    const {clock, log} = setUp();
    const short = log.read('claims', {fromOffset: 1, waitMs: 100});
    const long = log.read('claims', {fromOffset: 1, waitMs: 1000});
    await clock.advance(100);
    expect((await short)._unsafeUnwrap().records).toEqual([]);
    log.faults.set({outage: 'refuse'});
    expect((await long)._unsafeUnwrapErr().status).toBe(503);
  });

  it('answers 429 over the limit of appends a second', async () => {
    const {clock, log} = setUp({appendsPerSecond: 2});
    await log.append('claims', ['a']);
    await log.append('fences', ['b']);
    const over = await log.append('claims', ['c']);
    expect(over._unsafeUnwrapErr()).toMatchObject({
      status: 429,
      retryAfterMs: 500,
    });
    await clock.advance(500);
    expect((await log.append('claims', ['d'])).isOk()).toBe(true);
    expect(await valuesIn(log)).toEqual(['a', 'd']);
  });

  // The caller sees an error or nothing at all, while the record may be in the
  // log: the append took effect first and its answer was lost on the way back.
  // `status` 0 is a connection that was cut.
  const cases: Array<{
    fault: Partial<LogFaults>;
    status: number | 'pending' | 'ok';
    stored: unknown[];
  }> = [
    {fault: {outage: 'refuse'}, status: 503, stored: []},
    {fault: {outage: 'cut'}, status: 0, stored: []},
    {fault: {loseNextAppendAnswers: 1}, status: 0, stored: ['a']},
    {fault: {appendAnswerLossProbability: 1}, status: 0, stored: ['a']},
    {
      fault: {loseNextAppendAnswers: 1, lostAnswersHang: true},
      status: 'pending',
      stored: ['a'],
    },
    {fault: {answerDelayMs: 9000}, status: 'pending', stored: ['a']},
    {fault: {requestDelayMs: 9000}, status: 'pending', stored: []},
    {fault: {answerDelayMs: 100}, status: 'ok', stored: ['a']},
  ];
  it.each(cases)('append with $fault', async ({fault, status, stored}) => {
    const {clock, log} = setUp();
    log.faults.set(fault);
    const append = log.append('claims', ['a']);
    const outcome = await outcomeAfter(clock, 1000, append);
    const seen =
      outcome === 'pending'
        ? outcome
        : outcome.match(
            () => 'ok',
            refusal => refusal.status,
          );
    expect(seen).toBe(status);
    expect(await valuesIn(log)).toEqual(stored);
  });

  it('uses up a count of faults, and refuses unknown switches', async () => {
    const {log} = setUp();
    log.faults.set({loseNextAppendAnswers: 1});
    expect((await log.append('claims', ['a'])).isErr()).toBe(true);
    expect((await log.append('claims', ['b'])).isOk()).toBe(true);
    const unknown = log.faults.set({outtage: 'cut'} as Partial<LogFaults>);
    expect(unknown._unsafeUnwrapErr().status).toBe(400);
  });
});
