import {MemoryLogger, Metrics, VirtualClock} from '@banyanfold/core';
import {beforeEach, describe, expect, it} from 'vitest';
import {CrashDetector, type ObservedCrash} from '../crashes/crashDetector.js';
import type {ListenerState} from '../crashes/probeListener.js';
import type {RunnerRegistration} from '../types.js';
import {FleetView} from '../view/fleetView.js';

const RUNNER: RunnerRegistration = {
  runnerId: 'r1',
  bornMs: 5,
  service: 'drafting',
  address: '127.0.0.1:1',
  failureDomain: 'a',
  slots: 8,
  leaving: false,
  heartbeatNumber: 1,
};

let clock: VirtualClock;
let view: FleetView;
let watch: CrashDetector;
let crashes: ObservedCrash[];
let probes: number;
let listener: ListenerState;

beforeEach(() => {
  clock = new VirtualClock();
  const logger = new MemoryLogger();
  view = new FleetView(clock, logger);
  view.onRegistration(RUNNER);
  crashes = [];
  probes = 0;
  listener = 'refused';
  watch = new CrashDetector({
    clock,
    logger,
    metrics: new Metrics(),
    view,
    probe: async () => {
      probes += 1;
      return listener;
    },
    onCrash: crash => crashes.push(crash),
  });
});

describe('CrashDetector', () => {
  it('tells all requests that a crashed runner cut off, with one probe', async () => {
    watch.noteConnectionLost(RUNNER, 'f1');
    watch.noteConnectionLost(RUNNER, 'f2');
    await clock.advance(0);
    watch.noteConnectionLost(RUNNER, 'f3');
    expect(probes).toBe(1);
    expect(crashes).toEqual([
      {crashId: 'r1@5', fingerprints: ['f1', 'f2']},
      {crashId: 'r1@5', fingerprints: ['f3']},
    ]);
  });

  it('takes a runner that still listens for alive', async () => {
    listener = 'listening';
    watch.noteConnectionLost(RUNNER, 'f1');
    await clock.advance(0);
    view.onRemoval('r1');
    expect(crashes).toEqual([]);
  });

  it('leaves out what a runner cuts off that leaves as planned', async () => {
    // Requests that a leaving runner cut off would be under suspicion: it ends
    // at its time whatever it runs, and its address refuses connections then.
    view.onRegistration({...RUNNER, leaving: true, heartbeatNumber: 2});
    watch.noteConnectionLost(RUNNER, 'f1');
    await clock.advance(0);
    expect(crashes).toEqual([]);
  });

  it('asks the registry where nothing answers at all', async () => {
    listener = 'unknown';
    watch.noteConnectionLost(RUNNER, 'f1');
    await clock.advance(1_000);
    expect(crashes).toEqual([]);
    view.onRemoval('r1');
    expect(crashes).toEqual([{crashId: 'r1@5', fingerprints: ['f1']}]);
  });

  it('believes the registry of a new life, but not of one long after', async () => {
    listener = 'unknown';
    watch.noteConnectionLost(RUNNER, 'f1');
    await clock.advance(20_000);
    view.onRegistration({...RUNNER, bornMs: 90_000, heartbeatNumber: 1});
    expect(crashes).toEqual([]);
  });
});
