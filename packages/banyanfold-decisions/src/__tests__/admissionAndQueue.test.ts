import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {decideAdmission} from '../decideAdmission.js';
import {DEFAULT_QUEUE_OPTIONS} from '../options.js';
import {pickNext} from '../pickNext.js';
import type {AdmissionRequest, AdmissionView} from '../types.js';
import {admissionView, queuedRequest} from './views.js';

const REQUEST = {priority: 5, firstTokenBudgetMs: 310, kvBytes: 10};

describe('decideAdmission', () => {
  const drafts = [9, 9].map(priority => queuedRequest({priority}));
  const room = {running: 4, maxQueued: 3, queue: drafts};
  const table: Array<
    [string, Partial<AdmissionView>, Partial<AdmissionRequest>]
  > = [
    ['runs in a free slot', {}, {}],
    ['queues behind full slots', {running: 4}, {}],
    ['waits for KV memory', {running: 3, kvFreeBytes: 5}, {}],
    ['refuses a request that never fits', {kvFreeBytes: 5}, {}],
    ['refuses a full queue', {...room, maxQueued: 2}, {priority: 0}],
    ['reserves the last places for the best class', room, {}],
    ['gives the last places to the best class', room, {priority: 0}],
    [
      'refuses a request that would be late',
      {running: 4},
      {firstTokenBudgetMs: 100},
    ],
    [
      'uses the first-token time of its class if known',
      {firstTokenMs: 900},
      {firstTokenMs: 30},
    ],
    ['refuses a spent budget', {}, {firstTokenBudgetMs: -1}],
  ];

  it.each(table)('%s', (_name, view, request) => {
    const full = {...REQUEST, ...request};
    expect(decideAdmission(admissionView(view), full, 0)).toMatchSnapshot();
  });

  it('refuses late requests, always with a positive retry time', () => {
    fc.assert(
      fc.property(
        fc.nat(8),
        fc.nat(8),
        fc.integer({min: 1, max: 5_000}),
        (running, queued, budgetMs) => {
          const queue = Array.from({length: queued}, () => queuedRequest());
          const view = admissionView({running, queue, maxQueued: 6});
          const request = {...REQUEST, firstTokenBudgetMs: budgetMs};
          const decision = decideAdmission(view, request, 0);
          const isLate = decision.estimatedDelayMs > budgetMs;
          if (isLate) expect(decision.kind).toBe('refuse');
          if (decision.kind !== 'refuse') return;
          expect(decision.retryAfterMs).toBeGreaterThan(0);
        },
      ),
    );
  });
});

describe('pickNext', () => {
  const desk = queuedRequest({attemptId: 'desk', deadlineMs: 900});
  const urgent = queuedRequest({attemptId: 'urgent', deadlineMs: 500});
  const draft = queuedRequest({
    attemptId: 'draft',
    priority: 5,
    deadlineMs: 400,
  });

  it('orders by class, then by deadline', () => {
    const {next} = pickNext([draft, desk, urgent], 0, undefined, 0);
    expect(next?.attemptId).toBe('urgent');
  });

  it('returns requests that are too late, to be refused now', () => {
    const options = {...DEFAULT_QUEUE_OPTIONS, firstTokenMs: 50};
    const decision = pickNext([desk, urgent, draft], 460, options, 0);
    expect(decision.tooLate.map(({attemptId}) => attemptId)).toEqual([
      'urgent',
      'draft',
    ]);
    expect(decision).toMatchObject({next: {attemptId: 'desk'}});
    expect(decision.retryAfterMs).toBeGreaterThan(0);
  });

  it('does not refuse short answers by the first-token time of drafts', () => {
    // Guards against an idle runner that refuses short answers because its
    // smoothed first-token time, from drafts only, exceeds their whole budget.
    const options = {...DEFAULT_QUEUE_OPTIONS, firstTokenMs: 600};
    const short = {...urgent, firstTokenMs: 30};
    const {next, tooLate} = pickNext([short, urgent], 0, options, 0);
    expect(next).toBe(short);
    expect(tooLate).toEqual([urgent]);
  });

  it('skips requests that need more KV memory than is free', () => {
    const options = {...DEFAULT_QUEUE_OPTIONS, kvFreeBytes: 5};
    const large = {...urgent, kvBytes: 9};
    expect(pickNext([large, desk], 0, options, 0).next).toBe(desk);
    expect(pickNext([large], 0, options, 0)).toMatchObject({
      next: undefined,
      reason: 'no-kv-memory',
    });
  });

  it('lets no class starve under an endless supply of better ones', () => {
    const classes = fc.uniqueArray(fc.nat(9), {minLength: 2, maxLength: 5});
    fc.assert(
      fc.property(classes, fc.nat(1_000), (priorities, start) => {
        const lowest = Math.max(...priorities);
        const queue = priorities.map(priority =>
          queuedRequest({attemptId: `p${priority}`, priority}),
        );
        const {agedEvery} = DEFAULT_QUEUE_OPTIONS;
        const picked = Array.from(
          {length: agedEvery},
          (_, turn) => pickNext(queue, 0, undefined, start + turn).next,
        );
        expect(picked.map(next => next?.priority)).toContain(lowest);
      }),
    );
  });
});
