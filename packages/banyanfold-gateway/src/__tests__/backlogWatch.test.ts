import {EventEmitter} from 'node:events';
import type {Socket} from 'node:net';
import {MemoryLogger, Metrics, VirtualClock} from '@banyanfold/core';
import fc from 'fast-check';
import {beforeEach, describe, expect, it} from 'vitest';
import {BacklogWatch} from '../resources/backlogWatch.js';
import {decideBacklog, type BacklogView} from '../resources/decideBacklog.js';
import type {RoutePolicy} from '../types.js';

const TARGET_MS = 300;
const ROUTE = {name: 'letter', targetMs: TARGET_MS} as RoutePolicy;
/** 1 Mbit/s is 125,000 bytes a second. */
const LINK_MBPS = 1;
const LINK_BYTES_PER_S = 125_000;

class FakeSocket extends EventEmitter {
  bytesRead = 0;
  bytesWritten = 0;
  writableLength = 0;
}

describe('decideBacklog', () => {
  it('refuses above the target and resumes below half of it', () => {
    // Guards against requests that wait in a process until they are too late,
    // and against an entry that alternates between refusing and accepting.
    const given = fc.record({
      loopDelayMs: fc.nat(1_000),
      linkShare: fc.option(fc.double({min: 0, max: 1.2, noNaN: true}), {
        nil: undefined,
      }),
      linkBacklogMs: fc.nat(5_000),
    });
    fc.assert(
      fc.property(given, fc.integer({min: 1, max: 3_000}), (view, targetMs) => {
        const starts = decideBacklog(view, targetMs, false);
        const continues = decideBacklog(view, targetMs, true);
        if (starts) expect(continues).toBe(true);
        const linkMs = (view.linkShare ?? 0) >= 0.9 ? view.linkBacklogMs : 0;
        const delayMs = 2 * view.loopDelayMs + linkMs;
        expect(starts).toBe(delayMs > targetMs);
        expect(continues).toBe(delayMs > targetMs / 2);
      }),
    );
  });

  it('takes no bytes of slow callers for a backlog of the link', () => {
    // Guards against refusing everybody because some callers read nothing.
    const view: BacklogView = {
      loopDelayMs: 0,
      linkShare: 0.5,
      linkBacklogMs: 10_000,
    };
    expect(decideBacklog(view, TARGET_MS, false)).toBe(false);
  });
});

describe('BacklogWatch', () => {
  let clock: VirtualClock;
  let logger: MemoryLogger;
  let watch: BacklogWatch;
  let processorMs: number;
  let movingBytes: number;
  let metrics: Metrics;

  beforeEach(() => {
    clock = new VirtualClock();
    logger = new MemoryLogger();
    metrics = new Metrics();
    processorMs = 0;
    movingBytes = 0;
    watch = new BacklogWatch({
      clock,
      logger,
      metrics,
      resources: {linkMbps: LINK_MBPS, processorShare: 0.5},
      movingBytes: () => movingBytes,
      processorMs: () => processorMs,
    });
  });

  /** Lets the event loop run, each sample being that late. */
  async function runLate(delayMs: number, samples: number): Promise<void> {
    for (let i = 0; i < samples; i++) {
      await clock.advance(100 + delayMs);
      watch.sample(delayMs);
    }
  }

  it('refuses while the event loop is late, and logs each change once', async () => {
    await runLate(0, 10);
    expect(watch.shouldRefuse(ROUTE)).toBe(false);
    await runLate(200, 20);
    expect([1, 2].map(() => watch.shouldRefuse(ROUTE))).toEqual([true, true]);
    expect(watch.shouldRefuse({...ROUTE, name: 'x', targetMs: 900})).toBe(
      false,
    );
    expect(watch.isUnready).toBe(false);
    await runLate(0, 40);
    expect(watch.shouldRefuse(ROUTE)).toBe(false);
    const changes = logger.lines.filter(l => l.includes('event=backlog '));
    expect(changes).toHaveLength(2);
  });

  it('neither refuses nor becomes unready after a freeze', async () => {
    // Guards against a process that was stopped for seconds and has no backlog.
    await runLate(0, 10);
    await runLate(5_000, 1);
    expect([watch.shouldRefuse(ROUTE), watch.isUnready]).toEqual([
      false,
      false,
    ]);
    await runLate(0, 5);
    expect([watch.shouldRefuse(ROUTE), watch.isUnready]).toEqual([
      false,
      false,
    ]);
  });

  it('is unready only while it is too late to refuse', async () => {
    // Guards against a balancer that sends callers to a process that doesn't
    // even answer them in time.
    await runLate(900, 10);
    expect(watch.isUnready).toBe(false);
    await runLate(1_100, 10);
    expect(watch.isUnready).toBe(true);
    await runLate(0, 10);
    expect(watch.isUnready).toBe(false);
  });

  it('measures processor and link, also of closed connections', async () => {
    const [open, closed] = [new FakeSocket(), new FakeSocket()];
    for (const socket of [open, closed]) {
      watch.addCaller(socket as unknown as Socket);
    }
    open.bytesRead = LINK_BYTES_PER_S / 2;
    closed.bytesWritten = LINK_BYTES_PER_S;
    closed.writableLength = LINK_BYTES_PER_S / 2;
    closed.emit('close');
    processorMs = 250;
    movingBytes = LINK_BYTES_PER_S;
    await clock.advance(1_000);
    watch.sample(0);
    expect(metrics.render()).toContain('processor_used_share 0.5\n');
    expect(metrics.render()).toContain('link_used_share 1\n');
    // The link takes 1 s for what is to be sent.
    expect(watch.ownDelayMs).toBe(1_000);
    expect(watch.shouldRefuse(ROUTE)).toBe(true);
  });
});
