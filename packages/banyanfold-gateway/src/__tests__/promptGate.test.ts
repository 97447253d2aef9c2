import {VirtualClock} from '@banyanfold/core';
import {beforeEach, describe, expect, it} from 'vitest';
import {PromptGate, type PromptPermit} from '../runners/promptGate.js';

const FIRST_WINDOW = 4;

let clock: VirtualClock;
let gate: PromptGate;
let went: string[];

beforeEach(() => {
  clock = new VirtualClock();
  gate = new PromptGate(clock);
  went = [];
});

function enter(name: string, priority = 1, startedMs = 0): PromptPermit {
  const turn = gate.acquire('r1', priority, startedMs);
  void turn.granted.then(mayGo => {
    if (mayGo) went.push(name);
  });
  return turn;
}

function fill(): PromptPermit[] {
  const names = Array.from({length: FIRST_WINDOW}, (_, i) => `first-${i}`);
  return names.map(name => enter(name));
}

describe('PromptGate', () => {
  it('lets the most urgent go next, and of two alike the older one', async () => {
    const [first, second, third] = fill();
    enter('late', 1, 300);
    enter('early', 1, 200);
    enter('urgent', 0, 400);
    for (const turn of [first!, second!, third!]) {
      turn.release();
      await clock.advance(1);
    }
    expect(went.slice(FIRST_WINDOW)).toEqual(['urgent', 'early', 'late']);
  });

  it('gives a turn back once, however often it is told', async () => {
    // A caller leaves at the moment its first event comes: both give the turn
    // back, and a second one counted would let one prompt more in for good.
    const [first] = fill();
    enter('next');
    enter('after');
    first!.release();
    first!.release();
    await clock.advance(1);
    expect(went.slice(FIRST_WINDOW)).toEqual(['next']);
  });

  it('lets one go that has waited long enough, and drops one that left', async () => {
    const [first] = fill();
    const left = enter('left');
    const waited = enter('waited');
    left.release();
    expect(await left.granted).toBe(false);
    waited.grantNow();
    first!.release();
    await clock.advance(1);
    expect(went.slice(FIRST_WINDOW)).toEqual(['waited']);
  });

  it('tells a runner that reads nothing', async () => {
    // Callers at a runner that hangs get no event; others would wait for their
    // turn behind them until they leave. They go to another runner instead.
    const turns = fill();
    await clock.advance(700);
    expect(gate.isStalled('r1')).toBe(false);
    await clock.advance(200);
    expect(gate.isStalled('r1')).toBe(true);
    turns[0]!.release();
    expect(gate.isStalled('r1')).toBe(false);
  });
});
