import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {Retirements} from '../retirements.js';
import {FakeLog, PausableLog, type AppendFault} from './fakeLog.js';
import {createTestDependencies, createRandom, settle} from './testKit.js';

const SEED = 20_263;
const RUNS = 3_000;
const RETENTION_MS = 20_000;
const OPTIONS = {
  memoryMs: 8_000,
  maxViewAgeMs: 2_000,
  retentionMs: RETENTION_MS,
};

/** Agents that each hold one copy of the same artifact. */
class Simulation {
  readonly dependencies = createTestDependencies();
  readonly log = new FakeLog(this.dependencies.clock, RETENTION_MS);
  readonly unloaded = new Set<string>();
  readonly verdicts = new Set<string>();
  private readonly agents: Array<{gate: PausableLog; retirements: Retirements}>;

  constructor(readonly copies: number) {
    this.agents = Array.from({length: copies}, (_, index) => this.start(index));
  }

  start(index: number) {
    const gate = new PausableLog(this.log);
    const retirements = new Retirements({
      ...this.dependencies,
      ...OPTIONS,
      random: createRandom(index),
      log: gate,
      vmId: `agent-${index}`,
    });
    retirements.start();
    const agent = {gate, retirements};
    if (this.agents) this.agents[index] = agent;
    return agent;
  }

  gate(index: number, action: 'pause' | 'holdReads' | 'resume'): void {
    this.agents[index]?.gate[action]();
  }

  /** Retires a copy, relying on all other copies that are not unloaded yet. */
  retire(index: number): void {
    const copyId = `copy-${index}`;
    const others = this.agents
      .map((_, other) => `copy-${other}`)
      .filter(other => other !== copyId && !this.unloaded.has(other));
    const request = {copyId, artifact: 'm@1', reliesOnCopyIds: others};
    const agent = this.agents[index];
    void agent?.retirements.retireCopy(request).then(result => {
      const verdict = result.match(
        value => value.kind + ('why' in value ? ` ${value.why}` : ''),
        ({code}) => code,
      );
      this.verdicts.add(verdict);
      if (verdict === 'accepted') this.unloaded.add(copyId);
    });
  }
}

type Step = (simulation: Simulation) => void | Promise<void>;

const index = fc.nat({max: 3});

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: index.map(
      (at): Step =>
        simulation =>
          simulation.retire(at % simulation.copies),
    ),
  },
  {
    weight: 4,
    arbitrary: fc.constantFrom(1, 50, 900, 3_000, 9_000, 25_000).map(
      (deltaMs): Step =>
        simulation =>
          simulation.dependencies.clock.advance(deltaMs),
    ),
  },
  fc
    .constantFrom<AppendFault>(
      'refused',
      'lost-before',
      'lost-after',
      'lost-after-outage',
      'late',
    )
    .map(
      (fault): Step =>
        simulation =>
          void simulation.log.faults.push(fault),
    ),
  fc
    .tuple(index, fc.constantFrom('pause', 'holdReads', 'resume', 'resume'))
    .map(
      ([at, action]): Step =>
        simulation =>
          simulation.gate(at, action),
    ),
  index.map(
    (at): Step =>
      simulation =>
        void simulation.start(at % simulation.copies),
  ),
  fc
    .tuple(fc.boolean(), fc.constantFrom(0, 200))
    .map(([isOut, delayMs]): Step => simulation => {
      simulation.log.isOut = isOut;
      simulation.log.delayMs = delayMs;
    }),
);

/*
 * Two to four agents each hold a copy, and each tries to retire its copy
 * because the others hold one. The requests run concurrently, with lost
 * responses, outages, pauses and restarts. Without any copy, callers of the
 * artifact would wait for a load, so at least one copy must always remain.
 */
describe('Retirements.retireCopy', () => {
  it(`never retires all copies (seed ${SEED}, ${RUNS} runs)`, async () => {
    const verdicts = new Set<string>();
    await fc.assert(
      fc.asyncProperty(
        fc.array(stepArbitrary, {minLength: 3, maxLength: 40}),
        fc.integer({min: 2, max: 4}),
        async (steps, copies) => {
          const simulation = new Simulation(copies);
          await simulation.dependencies.clock.advance(1);
          for (const step of steps) {
            await step(simulation);
            await simulation.dependencies.clock.advance(0);
            expect(simulation.unloaded.size).toBeLessThan(copies);
          }
          for (const verdict of simulation.verdicts) verdicts.add(verdict);
        },
      ),
      {seed: SEED, numRuns: RUNS},
    );
    expect([...verdicts].sort()).toMatchInlineSnapshot(`
      [
        "accepted",
        "append-unknown",
        "log-unavailable",
        "void already-retired",
        "void old-view",
        "void relies-on-none",
      ]
    `);
  });

  /*
   * An agent is paused after it decided to retire its copy. The copy that it
   * relies on is retired in the meantime, and by the time the agent resumes,
   * the log may have trimmed that retirement.
   */
  it('rejects a decision that was made before a long pause', async () => {
    const simulation = new Simulation(2);
    const {clock} = simulation.dependencies;
    await clock.advance(100);
    simulation.gate(0, 'pause');
    simulation.retire(0);
    simulation.retire(1);
    await clock.advance(RETENTION_MS * 2);
    simulation.gate(0, 'resume');
    await clock.advance(10_000);
    expect([...simulation.unloaded]).toEqual(['copy-1']);
    expect([...simulation.verdicts]).toEqual(['accepted', 'void old-view']);
  });

  /*
   * Agent 0's record is in the log, but its reads are blocked until the log has
   * trimmed the earlier retirement of the copy that it relies on. Its own
   * record then appears valid, and unloading the copy would leave none.
   */
  it('accepts no verdict if an earlier retirement may be trimmed', async () => {
    const simulation = new Simulation(2);
    const {clock} = simulation.dependencies;
    await clock.advance(100);
    simulation.gate(0, 'holdReads');
    simulation.retire(1);
    await clock.advance(5_000);
    simulation.unloaded.clear();
    simulation.retire(0);
    await clock.advance(RETENTION_MS - 4_000);
    simulation.gate(0, 'resume');
    await clock.advance(1_000);
    expect([...simulation.verdicts]).toEqual(['accepted', 'append-unknown']);
  });

  it('accepts a copy once, and reports it as retired everywhere', async () => {
    const simulation = new Simulation(2);
    const {clock} = simulation.dependencies;
    await clock.advance(100);
    const {retirements} = simulation.start(0);
    const request = {copyId: 'x', artifact: 'm@1', reliesOnCopyIds: ['y']};
    await settle(clock, retirements.caughtUp());
    const first = await settle(clock, retirements.retireCopy(request));
    const second = await settle(clock, retirements.retireCopy(request));
    expect(first._unsafeUnwrap()).toEqual({kind: 'accepted'});
    expect(second._unsafeUnwrap()).toMatchObject({why: 'already-retired'});
    const alone = {copyId: 'z', artifact: 'm@1', reliesOnCopyIds: ['z', 'x']};
    const third = await settle(clock, retirements.retireCopy(alone));
    expect(third._unsafeUnwrap()).toMatchObject({why: 'relies-on-none'});
    const other = simulation.start(1).retirements;
    await settle(clock, other.caughtUp());
    expect(other.isRetired('x')).toBe(true);
  });
});
