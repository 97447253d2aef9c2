import type {VirtualClock} from '@banyanfold/core';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {KeyClaims} from '../keyClaims.js';
import {FakeLog, PausableLog, type AppendFault} from './fakeLog.js';
import {createTestDependencies, createRandom, keyMadeAt} from './testKit.js';

const SEED = 20_261;
const RUNS = 2_000;
const PROCESSES = 3;
const KEYS = 3;
const RETENTION_MS = 20_000;
const WINDOW = {horizonMs: 12_000, maxAheadMs: 2_000};

const FAULTS: Array<AppendFault | undefined> = [
  'refused',
  'lost-before',
  'lost-after',
  'lost-before-outage',
  'lost-after-outage',
  'late',
  undefined,
];

interface Process {
  log: PausableLog;
  claims: KeyClaims;
  isDead: boolean;
}

/** Processes that claim a few keys, and the dispatches of all of them. */
class Simulation {
  readonly log: FakeLog;
  readonly dispatches: string[] = [];
  readonly outcomes = new Map<string, number>();
  private readonly dependencies = createTestDependencies();
  private readonly processes: Process[] = [];
  private readonly keys: string[];
  private starts = 0;

  constructor(private readonly seed: number) {
    this.log = new FakeLog(this.clock, RETENTION_MS);
    const startMs = this.clock.wallMs();
    this.keys = Array.from({length: KEYS}, (_, serial) =>
      keyMadeAt(startMs + serial * 5_000, serial),
    );
    for (let index = 0; index < PROCESSES; index++) this.start(index);
  }

  get clock(): VirtualClock {
    return this.dependencies.clock;
  }

  /**
   * Starts a process, or replaces it by one with a new owner id and no state.
   */
  start(index: number): void {
    const old = this.processes[index];
    if (old) old.isDead = true;
    old?.claims.stop();
    const log = new PausableLog(this.log);
    const claims = new KeyClaims({
      ...this.dependencies,
      ...WINDOW,
      random: createRandom(this.seed + this.starts),
      log,
      owner: `process-${this.starts++}`,
      retentionMs: RETENTION_MS,
    });
    claims.start();
    this.processes[index] = {log, claims, isDead: false};
  }

  claim(index: number, keyIndex: number, thenRelease: boolean): void {
    const process = this.processes[index]!;
    const key = this.keys[keyIndex]!;
    void process.claims.claim(key).then(result => {
      const kind = result.match(
        outcome => outcome.kind,
        ({code}) => code,
      );
      this.outcomes.set(kind, (this.outcomes.get(kind) ?? 0) + 1);
      if (process.isDead || result.isErr()) return;
      if (result.value.kind !== 'owner') return;
      if (thenRelease) {
        void process.claims.release(key, result.value.claimOffset);
        return;
      }
      this.dispatches.push(key);
      void process.claims.finish(key, {status: 200, body: 'done'});
    });
  }

  gate(index: number, action: 'pause' | 'holdReads' | 'resume'): void {
    this.processes[index]!.log[action]();
  }

  stop(): void {
    for (const {claims, log} of this.processes) {
      claims.stop();
      log.resume();
    }
  }
}

type Step = (simulation: Simulation) => void | Promise<void>;

const processIndex = fc.nat({max: PROCESSES - 1});

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc
      .tuple(processIndex, fc.nat({max: KEYS - 1}), fc.nat({max: 2}))
      .map(
        ([index, key, dice]): Step =>
          simulation =>
            simulation.claim(index, key, dice === 0),
      ),
  },
  {
    weight: 5,
    arbitrary: fc.constantFrom(1, 5, 30, 800, 4_000, 15_000, 25_000).map(
      (deltaMs): Step =>
        simulation =>
          simulation.clock.advance(deltaMs),
    ),
  },
  {
    weight: 4,
    arbitrary: fc.constantFrom(...FAULTS).map(
      (fault): Step =>
        simulation =>
          void simulation.log.faults.push(fault),
    ),
  },
  {
    weight: 2,
    arbitrary: processIndex.map(
      (index): Step =>
        simulation =>
          simulation.start(index),
    ),
  },
  {
    weight: 2,
    arbitrary: fc
      .tuple(
        processIndex,
        fc.constantFrom(
          'pause' as const,
          'holdReads' as const,
          'resume' as const,
        ),
      )
      .map(
        ([index, action]): Step =>
          simulation =>
            simulation.gate(index, action),
      ),
  },
  {
    weight: 2,
    arbitrary: fc
      .tuple(fc.boolean(), fc.constantFrom(0, 3, 400))
      .map(([isOut, delayMs]): Step => simulation => {
        simulation.log.isOut = isOut;
        simulation.log.delayMs = delayMs;
      }),
  },
);

/*
 * Callers send the same few keys through several processes. Appends are lost
 * before or after they reach the log, or arrive late. The log is unavailable,
 * slow or trims records. Processes are paused past the retention, or are
 * replaced by ones without state. No key may be dispatched twice, because a
 * second run would repeat a request that is not idempotent. Some owners release
 * their key, which may then still be dispatched once.
 */
describe('KeyClaims', () => {
  it(`dispatches each key at most once (seed ${SEED}, ${RUNS} runs)`, async () => {
    const totals = new Map<string, number>();
    await fc.assert(
      fc.asyncProperty(
        fc.array(stepArbitrary, {minLength: 5, maxLength: 80}),
        fc.nat({max: 1_000}),
        async (steps, seed) => {
          const simulation = new Simulation(seed);
          for (const step of steps) {
            await step(simulation);
            await simulation.clock.advance(0);
            const unique = new Set(simulation.dispatches);
            expect(simulation.dispatches).toHaveLength(unique.size);
          }
          simulation.stop();
          for (const [kind, count] of simulation.outcomes) {
            totals.set(kind, (totals.get(kind) ?? 0) + count);
          }
        },
      ),
      {seed: SEED, numRuns: RUNS},
    );
    // Checks that the runs covered owners as well as all kinds of refusals.
    expect([...totals.keys()].sort()).toMatchInlineSnapshot(`
      [
        "claim-unknown",
        "key-from-future",
        "key-too-old",
        "log-unavailable",
        "owner",
        "taken",
      ]
    `);
  });
});
