import {MemoryLogger, Metrics, VirtualClock} from '@banyanfold/core';
import {beforeEach, describe, expect, it} from 'vitest';
import type {GatewayContext} from '../context.js';
import {DEFAULT_OPTIONS} from '../options.js';
import {TargetChooser} from '../requests/targetChooser.js';
import {RunnerBackoffs} from '../runners/runnerBackoffs.js';
import {RunnerStates} from '../runners/runnerStates.js';
import {FleetView} from '../view/fleetView.js';
import {ViewFreshness} from '../view/viewFreshness.js';

const RUNNERS = ['r1', 'r2', 'r3'];
const BORN_MS = 5;
const PLAIN_CALL = {work: {prefill: 1, decode: 0}};
const SHORT_PROMPT = {work: {prefill: 0.05, decode: 0.05}, model: 'm1'};

let clock: VirtualClock;
let view: FleetView;
let runnerBackoffs: RunnerBackoffs;
let states: RunnerStates;
let speeds: Record<string, number>;
let chooser: TargetChooser;
let holders: string[];
let modelChooser: TargetChooser;
let random: () => number;

beforeEach(() => {
  clock = new VirtualClock();
  const logger = new MemoryLogger();
  view = new FleetView(clock, logger);
  runnerBackoffs = new RunnerBackoffs({clock, logger});
  speeds = {};
  holders = [...RUNNERS];
  random = () => 0.5;
  states = new RunnerStates(clock, logger, DEFAULT_OPTIONS);
  const context = {
    clock,
    view,
    viewFreshness: new ViewFreshness({
      clock,
      logger,
      metrics: new Metrics(),
      view,
      confirmRunners: () => Promise.resolve(),
    }),
    runnerBackoffs,
    runnerStates: states,
    capacities: {speed: (id: string) => speeds[id] ?? 1},
    promptGate: {isStalled: () => false},
    heldCopies: {
      canFetch: () => true,
      holdsModel: (id: string) => holders.includes(id),
    },
    failureDomain: 'hall-a',
    random: () => random(),
  };
  chooser = new TargetChooser({
    context: context as unknown as GatewayContext,
    request: {promptTokens: 0, maxOutputTokens: 0, promptParts: []},
    service: 'desk',
  });
  modelChooser = new TargetChooser({
    context: context as unknown as GatewayContext,
    request: {
      model: 'm1',
      promptTokens: 0,
      maxOutputTokens: 0,
      promptParts: [],
    },
    service: 'desk',
  });
  for (const runnerId of RUNNERS) {
    view.onRegistration({
      runnerId,
      bornMs: BORN_MS,
      service: 'desk',
      address: '127.0.0.1:1',
      failureDomain: 'hall-a',
      slots: 8,
      leaving: false,
      heartbeatNumber: 1,
    });
  }
});

function pauseRunner(runnerId: string, forMs: number) {
  runnerBackoffs.record({runnerId, bornMs: BORN_MS}, forMs);
}

function announceLeaving(runnerId: string) {
  view.noteLeaving({runnerId, bornMs: BORN_MS}, 'response');
}

function setVersion(runnerId: string, softwareVersion: string) {
  const heartbeatNumber = view.runner(runnerId)!.heartbeatNumber + 1;
  const runner = view.runner(runnerId)!;
  view.onRegistration({...runner, softwareVersion, heartbeatNumber});
}

describe('TargetChooser', () => {
  // Guards against prompts that share nothing and all go to the same runner
  // until it has no place left, while others are idle.
  it('spreads prompts that share no part over the runners', () => {
    let drawn = 0;
    random = () => (drawn = (drawn + 0.618) % 1);
    const chosen = Array.from({length: 60}, () => {
      const {runnerId} = modelChooser.choose()!.runner;
      states.recordStart(runnerId, 'desk', SHORT_PROMPT);
      return runnerId;
    });
    const counts = RUNNERS.map(id => chosen.filter(each => each === id).length);
    expect(Math.max(...counts)).toBeLessThanOrEqual(30);
    expect(Math.min(...counts)).toBeGreaterThanOrEqual(10);
  });

  // Guards against events of two software versions in one stream.
  it('chooses runners of the required version only', () => {
    setVersion('r2', 'v2');
    chooser.requiredVersion = 'v2';
    expect(chooser.eligibleByOpenWork()).toEqual(['r2']);
    const runner = chooser.choose()!.runner;
    expect(chooser.isStillUsable(runner)).toBe(true);
    setVersion('r2', 'v3');
    expect(chooser.isStillUsable(runner)).toBe(false);
    expect(chooser.choose()).toBeUndefined();
  });

  // Guards against a wait for a copy that nobody plans.
  it('tells that only runners of other versions hold the model', () => {
    setVersion('r2', 'v2');
    expect(modelChooser.isHeldByOtherVersionsOnly).toBe(false);
    modelChooser.requiredVersion = 'v2';
    expect(modelChooser.isHeldByOtherVersionsOnly).toBe(false);
    holders = ['r1', 'r3'];
    expect(modelChooser.isHeldByOtherVersionsOnly).toBe(true);
    holders = [];
    expect(modelChooser.isHeldByOtherVersionsOnly).toBe(false);
  });

  it('leaves out runners that are leaving or paused', () => {
    announceLeaving('r1');
    pauseRunner('r2', 1_000);
    expect(chooser.choose()?.runner.runnerId).toBe('r3');
    expect(chooser.choose('r2')).toBeUndefined();
    expect(chooser.eligibleByOpenWork()).toEqual(['r3']);
    expect(chooser.pausedState()).toBeUndefined();
  });

  // Guards against sending a request that waited while the runner spoke.
  it('finds a chosen runner unusable once it is leaving or paused', () => {
    const [first, second] = RUNNERS.map(id => view.runner(id)!);
    expect(chooser.isStillUsable(first!)).toBe(true);
    announceLeaving('r1');
    pauseRunner('r2', 1_000);
    expect(chooser.isStillUsable(first!)).toBe(false);
    expect(chooser.isStillUsable(second!)).toBe(false);
  });

  // Guards against telling callers to return while no runner takes requests.
  it('reports the pause that ends first, and of one runner the longer one', () => {
    announceLeaving('r1');
    pauseRunner('r2', 3_000);
    pauseRunner('r3', 1_000);
    expect(chooser.pausedState()).toEqual({
      reason: 'runner-backoff',
      forMs: 1_000,
    });
    chooser.noteRateLimited('r3', 2_000);
    expect(chooser.pausedState()).toEqual({
      reason: 'runner-limit',
      forMs: 2_000,
    });
  });

  // Guards against a request that is sent long after its runner was chosen.
  it('finds a chosen runner unusable once the view is too old', async () => {
    view.onRunnersCurrent(clock.nowMs());
    const {runner} = chooser.choose()!;
    await clock.advance(1_450);
    expect(chooser.isStillUsable(runner)).toBe(true);
    await clock.advance(1);
    expect(chooser.isStillUsable(runner)).toBe(false);
  });

  it('uses a runner again after its pause', async () => {
    for (const runnerId of RUNNERS) pauseRunner(runnerId, 1_000);
    expect(chooser.choose()).toBeUndefined();
    await clock.advance(1_000);
    expect(chooser.choose()).toBeDefined();
  });

  // Guards against all entries choosing the runner that was the least loaded
  // at the last exchange, which is longer ago than a plain call lasts.
  it('does not send all plain calls to the runner that peers left idle', () => {
    states.setPeersWork({r2: 3, r3: 3});
    const chosen = new Set<string>();
    for (let i = 0; i < RUNNERS.length; i++) {
      const runnerId = chooser.choose()!.runner.runnerId;
      chosen.add(runnerId);
      states.recordStart(runnerId, 'desk', PLAIN_CALL).end();
    }
    expect(chosen.size).toBe(RUNNERS.length);
  });

  it('prefers a fast runner to a slow one with equal work', () => {
    speeds = {r1: 0.5, r2: 1.2, r3: 0.5};
    expect(chooser.choose()?.runner.runnerId).toBe('r2');
  });
});
