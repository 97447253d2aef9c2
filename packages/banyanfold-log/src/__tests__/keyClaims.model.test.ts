import type {VirtualClock} from '@banyanfold/core';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {KeyClaims} from '../keyClaims.js';
import {FakeLog, PausableLog, type AppendFault} from './fakeLog.js';
import {createBasics, createRandom, keyMadeAt} from './testKit.js';

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

/** Processes that claim few keys, and what each of them dispatched. */
class World {
  readonly log: FakeLog;
  readonly dispatches: string[] = [];
  readonly outcomes = new Map<string, number>();
  private readonly basics = createBasics();
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
    return this.basics.clock;
  }

  /** A successor has a new name and an empty memory. */
  start(index: number): void {
    const old = this.processes[index];
    if (old) old.isDead = true;
    old?.claims.stop();
    const log = new PausableLog(this.log);
    const claims = new KeyClaims({
      ...this.basics,
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

type Step = (world: World) => void | Promise<void>;

const processIndex = fc.nat({max: PROCESSES - 1});

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc
      .tuple(processIndex, fc.nat({max: KEYS - 1}), fc.nat({max: 2}))
      .map(
        ([index, key, dice]): Step =>
          world =>
            world.claim(index, key, dice === 0),
      ),
  },
  {
    weight: 5,
    arbitrary: fc.constantFrom(1, 5, 30, 800, 4_000, 15_000, 25_000).map(
      (deltaMs): Step =>
        world =>
          world.clock.advance(deltaMs),
    ),
  },
  {
    weight: 4,
    arbitrary: fc.constantFrom(...FAULTS).map(
      (fault): Step =>
        world =>
          void world.log.faults.push(fault),
    ),
  },
  {
    weight: 2,
    arbitrary: processIndex.map(
      (index): Step =>
        world =>
          world.start(index),
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
          world =>
            world.gate(index, action),
      ),
  },
  {
    weight: 2,
    arbitrary: fc
      .tuple(fc.boolean(), fc.constantFrom(0, 3, 400))
      .map(([isOut, delayMs]): Step => world => {
        world.log.isOut = isOut;
        world.log.delayMs = delayMs;
      }),
  },
);

/*
 * Callers send the same few keys through several processes. Appends are lost
 * before or after the log took them, or arrive late; the log goes out or is
 * slow and forgets; processes are paused past the retention, or die and come
 * back empty. Whatever happens, no key may be dispatched twice: a second run
 * would lodge a claim again. Some owners release, and those keys may run once.
 */
describe('KeyClaims', () => {
  it(`dispatches each key at most once (seed ${SEED}, ${RUNS} runs)`, async () => {
    const totals = new Map<string, number>();
    await fc.assert(
      fc.asyncProperty(
        fc.array(stepArbitrary, {minLength: 5, maxLength: 80}),
        fc.nat({max: 1_000}),
        async (steps, seed) => {
          const world = new World(seed);
          for (const step of steps) {
            await step(world);
            await world.clock.advance(0);
            const unique = new Set(world.dispatches);
            expect(world.dispatches).toHaveLength(unique.size);
          }
          world.stop();
          for (const [kind, count] of world.outcomes) {
            totals.set(kind, (totals.get(kind) ?? 0) + count);
          }
        },
      ),
      {seed: SEED, numRuns: RUNS},
    );
    // A run that met no owner, or no fault, would prove nothing.
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
