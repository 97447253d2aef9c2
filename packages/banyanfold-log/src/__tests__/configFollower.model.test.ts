import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ConfigWorld, NODES, RETENTION_MS} from './configWorld.js';
import type {AppendFault} from './fakeLog.js';

const SEED = 20_264;
const RUNS = 500;
/** Longer than a poll, a backoff and a check for peers together. */
const CONVERGE_MS = 30_000;

function checkNodes(world: ConfigWorld): void {
  const {versions} = world.truth();
  for (const node of world.nodes) {
    const {state, version} = node.follower;
    expect(version).toBeGreaterThanOrEqual(node.lastVersion);
    node.lastVersion = version;
    if (state) expect(version).toBe(versions[state.foldedThrough]);
  }
}

/** What an operator was told must be what the log says in the end. */
function checkPublishes(world: ConfigWorld): void {
  const {fold} = world.truth();
  const nonces = new Set(world.log.everything.map(({value}) => nonceOf(value)));
  for (const {nonce, outcome} of world.publishes) {
    if (outcome === 'accepted' || outcome === 'void') {
      expect(fold.verdict(nonce)?.kind).toBe(outcome);
    }
    if (outcome === 'log-unavailable' || outcome === 'config-needs-base') {
      expect(nonces.has(nonce)).toBe(false);
    }
  }
}

function nonceOf(value: unknown): unknown {
  return (value as {nonce?: string} | null)?.nonce;
}

type Step = (world: ConfigWorld) => void | Promise<void>;

const node = fc.nat({max: NODES - 1});

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.tuple(node, fc.constantFrom(false, false, true)).map(
      ([at, isStale]): Step =>
        world =>
          world.publish(at, isStale),
    ),
  },
  {
    weight: 6,
    arbitrary: fc.constantFrom(1, 40, 800, 12_000, 35_000).map(
      (deltaMs): Step =>
        world =>
          world.basics.clock.advance(deltaMs),
    ),
  },
  {
    weight: 2,
    arbitrary: node.map(
      (at): Step =>
        world =>
          world.start(at),
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
  fc.tuple(node, fc.constantFrom('pause', 'holdReads', 'resume', 'resume')).map(
    ([at, action]): Step =>
      world =>
        world.nodes[at]?.gate[action](),
  ),
  fc
    .tuple(fc.boolean(), fc.boolean(), fc.constantFrom(0, 300))
    .map(([isOut, arePeersReachable, delayMs]): Step => world => {
      Object.assign(world.log, {isOut, delayMs});
      world.arePeersReachable = arePeersReachable;
    }),
);

/*
 * Operators publish at several nodes at once, also on old versions. Appends
 * are lost or late, the log is out, slow and forgets, nodes are paused past
 * the retention or replaced, and peers may not answer. No node may go back or
 * differ from the log as of what it has folded, no operator may be told a lie,
 * and once all is well every node must have the same configuration in seconds.
 */
describe('ConfigFollower', () => {
  it(`never reverts and converges (seed ${SEED}, ${RUNS} runs)`, async () => {
    const outcomes = new Set<string>();
    let converged = 0;
    await fc.assert(
      fc.asyncProperty(
        fc.array(stepArbitrary, {minLength: 5, maxLength: 50}),
        async steps => {
          const world = new ConfigWorld();
          for (const step of steps) {
            await step(world);
            await world.basics.clock.advance(0);
            checkNodes(world);
          }
          await world.heal();
          await world.basics.clock.advance(CONVERGE_MS);
          checkNodes(world);
          checkPublishes(world);
          for (const {outcome} of world.publishes) outcomes.add(outcome);
          // When nobody read a record before the log forgot it, nobody knows.
          if (world.nodes.every(({follower}) => follower.needsBase)) return;
          converged++;
          const versions = world.nodes.map(({follower}) => follower.version);
          const {fold} = world.truth();
          expect(versions).toEqual(
            versions.map(() => fold.state?.version ?? 0),
          );
          for (const {follower} of world.nodes) follower.stop();
        },
      ),
      {seed: SEED, numRuns: RUNS},
    );
    expect([...outcomes].sort()).toMatchInlineSnapshot(`
      [
        "accepted",
        "append-unknown",
        "log-unavailable",
        "void",
      ]
    `);
    expect(converged).toBeGreaterThan(RUNS * 0.9);
  });

  /*
   * A VM starts while the log is out. Its peers know the configuration in
   * force, and without asking them it could serve nobody until the log is back.
   */
  it('starts from a peer while the log is out', async () => {
    const world = new ConfigWorld();
    const {clock} = world.basics;
    world.publish(0, false);
    await clock.advance(1_000);
    expect(world.nodes[0]?.follower.logNowMs).toBe(clock.wallMs());
    world.log.isOut = true;
    world.start(1);
    world.arePeersReachable = false;
    world.start(2);
    await clock.advance(1);
    const versions = () => world.nodes.map(({follower}) => follower.version);
    expect(versions()).toEqual([1, 1, 0]);
    world.arePeersReachable = true;
    await clock.advance(5_000);
    expect(versions()).toEqual([1, 1, 1]);
  });

  /*
   * Node 0 hangs while a version is published and forgotten by the log; no
   * checkpoint gets through. It finds a gap, and nothing in the log tells the
   * version. Peers do, once they can be reached. Then it is the only one left
   * that knows, though it never read the record, and must hand it on.
   */
  it('learns from peers what the log forgot, and hands it on', async () => {
    const world = new ConfigWorld();
    const {clock} = world.basics;
    const versions = () => world.nodes.map(({follower}) => follower.version);
    await clock.advance(100);
    world.nodes[0]?.gate.holdReads();
    world.publish(1, false);
    await clock.advance(1_000);
    world.log.faults.push(...Array<AppendFault>(100).fill('refused'));
    await clock.advance(RETENTION_MS);
    world.arePeersReachable = false;
    world.nodes[0]?.gate.resume();
    await clock.advance(1_000);
    expect(world.nodes[0]?.follower.needsBase).toBe(true);
    world.publish(0, false);
    world.arePeersReachable = true;
    await clock.advance(10_000);
    expect(versions()).toEqual([1, 1, 1]);
    world.arePeersReachable = false;
    world.start(1);
    world.start(2);
    await clock.advance(1);
    expect(versions()).toEqual([1, 0, 0]);
    world.log.faults.length = 0;
    await clock.advance(CONVERGE_MS);
    expect(versions()).toEqual([1, 1, 1]);
    expect(world.publishes.map(({outcome}) => outcome)).toEqual([
      'accepted',
      'config-needs-base',
    ]);
  });

  /*
   * One configuration is published, then nothing for many retentions, while
   * the VMs are replaced one after the other and can't reach each other. The
   * log has forgotten the record by then; only checkpoints carry it on.
   */
  it('keeps the configuration past the retention, without peers', async () => {
    const world = new ConfigWorld();
    const {clock} = world.basics;
    world.arePeersReachable = false;
    world.publish(0, false);
    for (let round = 0; round < 30; round++) {
      await clock.advance(RETENTION_MS / 3);
      world.start(round % NODES);
    }
    await clock.advance(1_000);
    const versions = world.nodes.map(({follower}) => follower.version);
    expect(versions).toEqual([1, 1, 1]);
    const elapsedHalves = (30 * RETENTION_MS) / 3 / (RETENTION_MS / 2);
    expect(world.log.everything.length).toBeLessThan(elapsedHalves * 1.5);
  });
});
