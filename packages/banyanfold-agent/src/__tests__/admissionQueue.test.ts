import {MemoryLogger, Metrics, VirtualClock} from '@banyanfold/core';
import {describe, expect, it} from 'vitest';
import {AdmissionQueue} from '../attempts/admissionQueue.js';

function createQueue(options: {maxRunning?: number; kvFreeBytes?: number}) {
  const clock = new VirtualClock();
  const logger = new MemoryLogger();
  const events: string[] = [];
  let kvFreeBytes = options.kvFreeBytes ?? Number.POSITIVE_INFINITY;
  const queue = new AdmissionQueue({
    clock,
    logger,
    metrics: new Metrics(),
    memory: {
      kvFreeBytes: () => kvFreeBytes,
      reserveKv: (_key, bytes) => {
        kvFreeBytes -= bytes;
      },
    },
    maxRunning: options.maxRunning ?? 1,
    maxQueued: 4,
  });
  const submit = (
    attemptId: string,
    fields: {priority?: number; budgetMs?: number; kvBytes?: number} = {},
  ) => {
    const note = (what: string) =>
      events.push(`${clock.nowMs()} ${attemptId} ${what}`);
    queue.submit({
      attemptId,
      artifact: 'claims@1',
      priority: fields.priority ?? 5,
      firstTokenBudgetMs: fields.budgetMs ?? 10_000,
      kvBytes: fields.kvBytes ?? 0,
      start: () => note('start'),
      refuse: ({code, outcome}) => note(`${code} ${outcome}`),
    });
  };
  return {clock, queue, submit, events, logger};
}

describe('AdmissionQueue', () => {
  it('starts the most urgent request first when a slot becomes free', () => {
    const {queue, submit, events} = createQueue({});
    submit('running');
    submit('low', {priority: 7});
    submit('high', {priority: 1});
    queue.release('running', 100);
    expect(events).toEqual(['0 running start', '0 high start']);
  });

  it('refuses a request at once if it cannot start in time', () => {
    const {submit, events} = createQueue({});
    submit('running');
    submit('hurried', {budgetMs: 20});
    expect(events).toEqual(['0 running start', '0 hurried too-late not-run']);
  });

  // While no slot becomes free, a waiting request must be refused by a timer as
  // soon as its first token can't arrive in time, so that the caller can retry
  // elsewhere.
  it('refuses a waiting request as soon as it is too late', async () => {
    const {clock, submit, events} = createQueue({});
    submit('running');
    submit('waiting', {budgetMs: 800});
    await clock.advance(700);
    expect(events).toEqual(['0 running start']);
    await clock.advance(100);
    expect(events.at(-1)).toBe('751 waiting too-late not-run');
  });

  it('refuses a request while the queue is full', () => {
    const {submit, events} = createQueue({});
    const ids = ['a', 'b', 'c', 'd', 'e', 'f'];
    for (const id of ids) submit(id, {priority: 0});
    expect(events).toEqual(['0 a start', '0 f busy not-run']);
  });

  it('starts only requests that fit into the KV memory', () => {
    const {queue, submit, events} = createQueue({
      maxRunning: 4,
      kvFreeBytes: 100,
    });
    submit('a', {kvBytes: 60});
    submit('b', {kvBytes: 60});
    submit('c', {kvBytes: 200});
    queue.dispatchWaiting();
    expect(events).toEqual(['0 a start']);
  });

  // After a stall the smoothed time to first token exceeds every budget.
  // Without its decay every request would be refused, and no sample would
  // correct it.
  it('admits requests again some time after a stall', async () => {
    const {clock, queue, submit, events} = createQueue({maxRunning: 4});
    for (let i = 0; i < 50; i++) queue.recordFirstToken(5_000, 5);
    submit('during', {budgetMs: 310});
    await clock.advance(20_000);
    submit('after', {budgetMs: 310});
    expect(events).toEqual(['0 during too-late not-run', '20000 after start']);
  });

  // An idle runner has served drafts, whose first token takes seconds. With the
  // estimate of drafts it would refuse a short answer that it could give at
  // once, and would report a queue delay to entries although it is idle.
  it('estimates the time to first token for each class', () => {
    const {queue, submit, events} = createQueue({maxRunning: 4});
    for (let i = 0; i < 50; i++) queue.recordFirstToken(5_000, 7);
    expect(queue.queueDelayMs()).toBe(50);
    submit('draft', {priority: 7, budgetMs: 310});
    submit('desk', {priority: 0, budgetMs: 310});
    expect(events).toEqual(['0 draft too-late not-run', '0 desk start']);
  });

  // Both requests wait for the same slot with the same deadline. The draft
  // takes longer after its dispatch, so it is too late earlier than the desk
  // request.
  it('refuses each waiting request by the estimate of its class', async () => {
    const {clock, queue, submit, events} = createQueue({});
    queue.recordFirstToken(1_050, 7);
    submit('running', {priority: 0});
    submit('desk', {priority: 0, budgetMs: 2_000});
    submit('draft', {priority: 7, budgetMs: 2_000});
    await clock.advance(2_000);
    expect(events).toEqual([
      '0 running start',
      '1851 draft too-late not-run',
      '1951 desk too-late not-run',
    ]);
  });

  it('logs each decision with its reason', () => {
    const {queue, submit, logger} = createQueue({});
    submit('a');
    submit('b', {budgetMs: 20});
    queue.stop();
    expect(logger.lines).toMatchSnapshot();
  });
});
