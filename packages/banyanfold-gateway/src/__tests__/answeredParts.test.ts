import {VirtualClock} from '@banyanfold/core';
import {beforeEach, describe, expect, it} from 'vitest';
import {AnsweredParts} from '../crashes/answeredParts.js';

let clock: VirtualClock;
let parts: AnsweredParts;

beforeEach(() => {
  clock = new VirtualClock();
  parts = new AnsweredParts(clock);
});

describe('AnsweredParts', () => {
  it('tells the time since the last answer', async () => {
    parts.note(['part/a', 'part/b']);
    await clock.advance(500);
    parts.note(['part/b']);
    await clock.advance(100);
    expect(['part/a', 'part/b', 'part/c'].map(id => parts.ageMs(id))).toEqual([
      600,
      100,
      undefined,
    ]);
  });

  it('forgets answers after a minute', async () => {
    parts.note(['part/a']);
    await clock.advance(60_001);
    expect(parts.ageMs('part/a')).toBeUndefined();
  });

  // Guards against memory that grows with each new part callers send.
  it('keeps the parts that were answered last', () => {
    for (let i = 0; i < 10_000; i++) parts.note([`part/${i}`]);
    expect(parts.ageMs('part/5999')).toBeUndefined();
    expect(parts.ageMs('part/6000')).toBe(0);
  });
});
