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
let isAlerted: boolean;
let answered: string[];

beforeEach(() => {
  clock = new VirtualClock();
  const logger = new MemoryLogger();
  view = new FleetView(clock, logger);
  view.onRegistration(RUNNER);
  crashes = [];
  probes = 0;
  listener = 'refused';
  isAlerted = false;
  answered = [];
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
    isAlerted: () => isAlerted,
    onCrash: crash => crashes.push(crash),
    onAnswered: fingerprints => answered.push(...fingerprints),
  });
});

describe('CrashDetector', () => {
  it('reports all requests that a crashed runner aborted, with one probe', async () => {
    detector.noteConnectionLost(RUNNER, ['f1']);
    detector.noteConnectionLost(RUNNER, ['f2']);
    await clock.advance(0);
    detector.noteConnectionLost(RUNNER, ['f3']);
    expect(probes).toBe(1);
    expect(crashes).toEqual([
      {crashId: 'r1@5', fingerprints: ['f1', 'f2']},
      {crashId: 'r1@5', fingerprints: ['f3']},
    ]);
  });

  it('reports no crash of a runner that still listens', async () => {
    listener = 'listening';
    detector.noteConnectionLost(RUNNER, ['f1']);
    await clock.advance(0);
    view.onRemoval('r1');
    expect(crashes).toEqual([]);
  });

  it('ignores requests aborted by a runner that leaves as planned', async () => {
    // Otherwise, these requests become suspects: a leaving runner ends on time
    // whatever it runs, and its address refuses connections afterwards.
    view.onRegistration({...RUNNER, leaving: true, heartbeatNumber: 2});
    detector.noteConnectionLost(RUNNER, ['f1']);
    await clock.advance(0);
    expect(crashes).toEqual([]);
  });

  it('relies on the registry if the probe gets no answer', async () => {
    listener = 'unknown';
    detector.noteConnectionLost(RUNNER, ['f1']);
    await clock.advance(1_000);
    expect(crashes).toEqual([]);
    view.onRemoval('r1');
    expect(crashes).toEqual([{crashId: 'r1@5', fingerprints: ['f1']}]);
  });

  it('ignores a new process start long after a connection was lost', async () => {
    listener = 'unknown';
    detector.noteConnectionLost(RUNNER, ['f1']);
    await clock.advance(20_000);
    view.onRegistration({...RUNNER, bornMs: 90_000, heartbeatNumber: 1});
    expect(crashes).toEqual([]);
  });

  describe('after a complete answer', () => {
    const framed = {isEndedByClose: false, isTrial: false};
    const unframed = {isEndedByClose: true, isTrial: false};

    it('reports it as answered once the runner has lived on', async () => {
      detector.noteAnswered(RUNNER, ['f1'], framed);
      await clock.advance(299);
      expect(answered).toEqual([]);
      await clock.advance(1);
      expect(answered).toEqual(['f1']);
    });

    // Guards against an answer that is out before its request crashes the runner.
    it('blames its request for a crash shortly after', async () => {
      detector.noteAnswered(RUNNER, ['early'], framed);
      await clock.advance(250);
      detector.noteAnswered(RUNNER, ['late'], framed);
      await clock.advance(100);
      detector.noteConnectionLost(RUNNER, ['f1']);
      await clock.advance(1_000);
      expect(answered).toEqual(['early']);
      expect(crashes).toEqual([
        {crashId: 'r1@5', fingerprints: ['f1', 'late']},
      ]);
    });

    // Guards against taking the end of a crashed runner for a complete answer.
    it('doubts one that ended with its connection', async () => {
      detector.noteAnswered(RUNNER, ['f1'], unframed);
      await clock.advance(2_000);
      expect(answered).toEqual([]);
      detector.noteRefused(RUNNER);
      expect(crashes).toEqual([{crashId: 'r1@5', fingerprints: ['f1']}]);
      expect(probes).toBe(0);
    });

    it('believes it after a later sign of life', async () => {
      detector.noteAnswered(RUNNER, ['f1'], unframed);
      await clock.advance(100);
      detector.noteSignOfLife(RUNNER);
      await clock.advance(500);
      expect(answered).toEqual(['f1']);
      detector.noteRefused(RUNNER);
      expect(crashes).toEqual([{crashId: 'r1@5', fingerprints: []}]);
    });

    it('probes a doubtful end while runners crash, and in trials', async () => {
      isAlerted = true;
      detector.noteAnswered(RUNNER, ['f1'], unframed);
      await clock.advance(100);
      expect(crashes).toEqual([{crashId: 'r1@5', fingerprints: ['f1']}]);
      isAlerted = false;
      listener = 'listening';
      const other = {...RUNNER, runnerId: 'r2'};
      view.onRegistration(other);
      detector.noteAnswered(other, ['f2'], {...unframed, isTrial: true});
      await clock.advance(500);
      expect(probes).toBe(2);
      expect(answered).toEqual(['f2']);
    });

    it('sends nothing where no runner crashes', async () => {
      for (let i = 0; i < 100; i++) {
        detector.noteAnswered(RUNNER, [`f${i}`], i % 2 ? framed : unframed);
        detector.noteSignOfLife(RUNNER);
        await clock.advance(20);
      }
      await clock.advance(5_000);
      expect(probes).toBe(0);
      expect(crashes).toEqual([]);
    });
  });
});
