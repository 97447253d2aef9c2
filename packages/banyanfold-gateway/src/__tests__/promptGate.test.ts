import {VirtualClock} from '@banyanfold/core';
import {beforeEach, describe, expect, it} from 'vitest';
import {PromptGate, type PromptPermit} from '../runners/promptGate.js';

const FIRST_WINDOW = 4;

let clock: VirtualClock;
let gate: PromptGate;
let granted: string[];

beforeEach(() => {
  clock = new VirtualClock();
  gate = new PromptGate(clock);
  granted = [];
});

function acquire(
  name: string,
  priority = 1,
  startedMs = 0,
  isOverShare?: boolean,
): PromptPermit {
  const turn = gate.acquire('r1', {priority, startedMs, isOverShare});
  void turn.granted.then(mayGo => {
    if (mayGo) granted.push(name);
  });
  return turn;
}

function fillWindow(): PromptPermit[] {
  const names = Array.from({length: FIRST_WINDOW}, (_, i) => `first-${i}`);
  return names.map(name => acquire(name));
}

describe('PromptGate', () => {
  it('grants the most urgent request first, then the older one', async () => {
    const [first, second, third] = fillWindow();
    acquire('late', 1, 300);
    acquire('early', 1, 200);
    acquire('urgent', 0, 400);
    for (const turn of [first!, second!, third!]) {
      turn.release();
      await clock.advance(1);
    }
    expect(granted.slice(FIRST_WINDOW)).toEqual(['urgent', 'early', 'late']);
  });

  // Guards against requests that wait behind the excess of an organisation.
  it('grants requests above a share after the others of their priority', async () => {
    const [first, second, third] = fillWindow();
    acquire('over', 1, 100, true);
    acquire('within', 1, 200, false);
    acquire('over-urgent', 0, 300, true);
    for (const turn of [first!, second!, third!]) {
      turn.release();
      await clock.advance(1);
    }
    const order = ['over-urgent', 'within', 'over'];
    expect(granted.slice(FIRST_WINDOW)).toEqual(order);
  });

  it('releases a permit once, however often it is called', async () => {
    // A caller may disconnect at the moment at which its first event arrives,
    // and both release the permit. Counting the second release would let one
    // more prompt in permanently.
    const [first] = fillWindow();
    acquire('next');
    acquire('after');
    first!.release();
    first!.release();
    await clock.advance(1);
    expect(granted.slice(FIRST_WINDOW)).toEqual(['next']);
  });

  it('grants a permit on demand and drops a released one', async () => {
    const [first] = fillWindow();
    const released = acquire('left');
    const forced = acquire('waited');
    released.release();
    expect(await released.granted).toBe(false);
    forced.grantNow();
    first!.release();
    await clock.advance(1);
    expect(granted.slice(FIRST_WINDOW)).toEqual(['waited']);
  });

  it('detects a runner that reads no prompts', async () => {
    // Requests at a runner that hangs get no event, and others would wait
    // behind them until they time out. They go to another runner instead.
    const turns = fillWindow();
    await clock.advance(700);
    expect(gate.isStalled('r1')).toBe(false);
    await clock.advance(200);
    expect(gate.isStalled('r1')).toBe(true);
    turns[0]!.release();
    expect(gate.isStalled('r1')).toBe(false);
  });
});
