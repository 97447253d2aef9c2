import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {Retirements} from '../retirements.js';
import {FakeLog, PausableLog, type AppendFault} from './fakeLog.js';
import {createBasics, createRandom, settle} from './testKit.js';

const SEED = 20_263;
const RUNS = 3_000;
const RETENTION_MS = 20_000;
const OPTIONS = {
  memoryMs: 8_000,
  maxViewAgeMs: 2_000,
  retentionMs: RETENTION_MS,
};

/** Agents that each hold one copy of the same artifact. */
class World {
  readonly basics = createBasics();
  readonly log = new FakeLog(this.basics.clock, RETENTION_MS);
  readonly unloaded = new Set<string>();
  readonly verdicts = new Set<string>();
  private readonly agents: Array<{gate: PausableLog; retirements: Retirements}>;

  constructor(readonly copies: number) {
    this.agents = Array.from({length: copies}, (_, index) => this.start(index));
  }

  start(index: number) {
    const gate = new PausableLog(this.log);
    const retirements = new Retirements({
      ...this.basics,
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

  /** Relies on all copies that are not unloaded yet, as a report shows them. */
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

type Step = (world: World) => void | Promise<void>;

const index = fc.nat({max: 3});

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: index.map(
      (at): Step =>
        world =>
          world.retire(at % world.copies),
    ),
  },
  {
    weight: 4,
    arbitrary: fc.constantFrom(1, 50, 900, 3_000, 9_000, 25_000).map(
      (deltaMs): Step =>
        world =>
          world.basics.clock.advance(deltaMs),
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
        world =>
          void world.log.faults.push(fault),
    ),
  fc
    .tuple(index, fc.constantFrom('pause', 'holdReads', 'resume', 'resume'))
    .map(
      ([at, action]): Step =>
        world =>
          world.gate(at, action),
    ),
  index.map(
    (at): Step =>
      world =>
        void world.start(at % world.copies),
  ),
  fc
    .tuple(fc.boolean(), fc.constantFrom(0, 200))
    .map(([isOut, delayMs]): Step => world => {
      world.log.isOut = isOut;
      world.log.delayMs = delayMs;
    }),
);

/*
 * Two to four agents each hold a copy, and each is told that its copy is
 * surplus because the others hold one. They ask at once, with lost answers,
 * outages, pauses and restarts. If all went, callers of the artifact would
 * wait for a load, so one copy must always stay.
 */
describe('Retirements.retireCopy', () => {
  it(`never lets all copies go (seed ${SEED}, ${RUNS} runs)`, async () => {
    const verdicts = new Set<string>();
    await fc.assert(
      fc.asyncProperty(
        fc.array(stepArbitrary, {minLength: 3, maxLength: 40}),
        fc.integer({min: 2, max: 4}),
        async (steps, copies) => {
          const world = new World(copies);
          await world.basics.clock.advance(1);
          for (const step of steps) {
            await step(world);
            await world.basics.clock.advance(0);
            expect(world.unloaded.size).toBeLessThan(copies);
          }
          for (const verdict of world.verdicts) verdicts.add(verdict);
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
   * An agent is paused after it decided to retire its copy, relying on one
   * that is retired meanwhile. When it wakes, the log may have forgotten that.
   */
  it('takes no decision that was made before a long pause', async () => {
    const world = new World(2);
    const {clock} = world.basics;
    await clock.advance(100);
    world.gate(0, 'pause');
    world.retire(0);
    world.retire(1);
    await clock.advance(RETENTION_MS * 2);
    world.gate(0, 'resume');
    await clock.advance(10_000);
    expect([...world.unloaded]).toEqual(['copy-1']);
    expect([...world.verdicts]).toEqual(['accepted', 'void old-view']);
  });

  /*
   * Agent 0's record is in the log, but its reads hang until the log has
   * forgotten that the copy it relies on was retired before. Its own record
   * looks fine then, and unloading would leave no copy.
   */
  it('takes no verdict when an earlier retirement may be forgotten', async () => {
    const world = new World(2);
    const {clock} = world.basics;
    await clock.advance(100);
    world.gate(0, 'holdReads');
    world.retire(1);
    await clock.advance(5_000);
    world.unloaded.clear();
    world.retire(0);
    await clock.advance(RETENTION_MS - 4_000);
    world.gate(0, 'resume');
    await clock.advance(1_000);
    expect([...world.verdicts]).toEqual(['accepted', 'append-unknown']);
  });

  it('accepts a copy once, and knows it as retired everywhere', async () => {
    const world = new World(2);
    const {clock} = world.basics;
    await clock.advance(100);
    const {retirements} = world.start(0);
    const request = {copyId: 'x', artifact: 'm@1', reliesOnCopyIds: ['y']};
    await settle(clock, retirements.caughtUp());
    const first = await settle(clock, retirements.retireCopy(request));
    const second = await settle(clock, retirements.retireCopy(request));
    expect(first._unsafeUnwrap()).toEqual({kind: 'accepted'});
    expect(second._unsafeUnwrap()).toMatchObject({why: 'already-retired'});
    const alone = {copyId: 'z', artifact: 'm@1', reliesOnCopyIds: ['z', 'x']};
    const third = await settle(clock, retirements.retireCopy(alone));
    expect(third._unsafeUnwrap()).toMatchObject({why: 'relies-on-none'});
    const other = world.start(1).retirements;
    await settle(clock, other.caughtUp());
    expect(other.isRetired('x')).toBe(true);
  });
});
