import {MemoryLogger, Metrics, VirtualClock} from '@banyanfold/core';
import {beforeEach, describe, expect, it} from 'vitest';
import {AnsweredParts} from '../crashes/answeredParts.js';
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
let detector: CrashDetector;
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
  detector = new CrashDetector({
    clock,
    logger,
    metrics: new Metrics(),
    view,
    answeredParts: new AnsweredParts(clock),
    probe: async () => {
      probes += 1;
      return listener;
    },
    onCrash: crash => crashes.push(crash),
  });
});

describe('CrashDetector', () => {
  it('reports all requests that a crashed runner aborted, with one probe', async () => {
    detector.noteConnectionLost(RUNNER, 'f1');
    detector.noteConnectionLost(RUNNER, 'f2');
    await clock.advance(0);
    detector.noteConnectionLost(RUNNER, 'f3');
    expect(probes).toBe(1);
    expect(crashes).toEqual([
      {crashId: 'r1@5', fingerprints: ['f1', 'f2']},
      {crashId: 'r1@5', fingerprints: ['f3']},
    ]);
  });

  it('reports no crash of a runner that still listens', async () => {
    listener = 'listening';
    detector.noteConnectionLost(RUNNER, 'f1');
    await clock.advance(0);
    view.onRemoval('r1');
    expect(crashes).toEqual([]);
  });

  it('ignores requests aborted by a runner that leaves as planned', async () => {
    // Otherwise, these requests become suspects: a leaving runner ends on time
    // whatever it runs, and its address refuses connections afterwards.
    view.onRegistration({...RUNNER, leaving: true, heartbeatNumber: 2});
    detector.noteConnectionLost(RUNNER, 'f1');
    await clock.advance(0);
    expect(crashes).toEqual([]);
  });

  it('relies on the registry if the probe gets no answer', async () => {
    listener = 'unknown';
    detector.noteConnectionLost(RUNNER, 'f1');
    await clock.advance(1_000);
    expect(crashes).toEqual([]);
    view.onRemoval('r1');
    expect(crashes).toEqual([{crashId: 'r1@5', fingerprints: ['f1']}]);
  });

  it('ignores a new process start long after a connection was lost', async () => {
    listener = 'unknown';
    detector.noteConnectionLost(RUNNER, 'f1');
    await clock.advance(20_000);
    view.onRegistration({...RUNNER, bornMs: 90_000, heartbeatNumber: 1});
    expect(crashes).toEqual([]);
  });
});
