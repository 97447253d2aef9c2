import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ConfigCluster, NODES, RETENTION_MS} from './configCluster.js';
import type {AppendFault} from './fakeLog.js';

const SEED = 20_264;
const RUNS = 500;
/** Longer than a poll, a backoff delay and a periodic check together. */
const CONVERGE_MS = 30_000;

function checkNodes(cluster: ConfigCluster): void {
  const {versions} = cluster.foldWholeLog();
  for (const node of cluster.nodes) {
    const {state, version} = node.follower;
    expect(version).toBeGreaterThanOrEqual(node.lastVersion);
    node.lastVersion = version;
    if (state) expect(version).toBe(versions[state.foldedThrough]);
  }
}

/** The outcome of each publish must match the final log. */
function checkPublishes(cluster: ConfigCluster): void {
  const {fold} = cluster.foldWholeLog();
  const nonces = new Set(
    cluster.log.allRecords.map(({value}) => nonceOf(value)),
  );
  for (const {nonce, outcome} of cluster.publishes) {
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

type Step = (cluster: ConfigCluster) => void | Promise<void>;

const node = fc.nat({max: NODES - 1});

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.tuple(node, fc.constantFrom(false, false, true)).map(
      ([at, isStale]): Step =>
        cluster =>
          cluster.publish(at, isStale),
    ),
  },
  {
    weight: 6,
    arbitrary: fc.constantFrom(1, 40, 800, 12_000, 35_000).map(
      (deltaMs): Step =>
        cluster =>
          cluster.dependencies.clock.advance(deltaMs),
    ),
  },
  {
    weight: 2,
    arbitrary: node.map(
      (at): Step =>
        cluster =>
          cluster.start(at),
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
        cluster =>
          void cluster.log.faults.push(fault),
    ),
  fc.tuple(node, fc.constantFrom('pause', 'holdReads', 'resume', 'resume')).map(
    ([at, action]): Step =>
      cluster =>
        cluster.nodes[at]?.gate[action](),
  ),
  fc
    .tuple(fc.boolean(), fc.boolean(), fc.constantFrom(0, 300))
    .map(([isOut, arePeersReachable, delayMs]): Step => cluster => {
      Object.assign(cluster.log, {isOut, delayMs});
      cluster.arePeersReachable = arePeersReachable;
    }),
);

/*
 * Operators publish at several nodes concurrently, partly on stale versions.
 * Appends are lost or late, the log is unavailable, slow or trims records,
 * nodes are paused past the retention or replaced, and peers may be
 * unreachable. No node may revert to an older version or differ from the log up
 * to the offset that it has folded, and no operator may receive a wrong
 * outcome. When all faults have ended, all nodes must converge within
 * `CONVERGE_MS`.
 */
describe('ConfigFollower', () => {
  it(`never reverts and converges (seed ${SEED}, ${RUNS} runs)`, async () => {
    const outcomes = new Set<string>();
    let converged = 0;
    await fc.assert(
      fc.asyncProperty(
        fc.array(stepArbitrary, {minLength: 5, maxLength: 50}),
        async steps => {
          const cluster = new ConfigCluster();
          for (const step of steps) {
            await step(cluster);
            await cluster.dependencies.clock.advance(0);
            checkNodes(cluster);
          }
          await cluster.recover();
          await cluster.dependencies.clock.advance(CONVERGE_MS);
          checkNodes(cluster);
          checkPublishes(cluster);
          for (const {outcome} of cluster.publishes) outcomes.add(outcome);
          // No node converges if a record was trimmed before any read it.
          if (cluster.nodes.every(({follower}) => follower.needsBase)) return;
          converged++;
          const versions = cluster.nodes.map(({follower}) => follower.version);
          const {fold} = cluster.foldWholeLog();
          expect(versions).toEqual(
            versions.map(() => fold.state?.version ?? 0),
          );
          for (const {follower} of cluster.nodes) follower.stop();
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
   * A VM starts while the log is unavailable. Unless it fetches the
   * configuration in force from its peers, it cannot serve requests until the
   * log recovers.
   */
  it('starts from a peer while the log is unavailable', async () => {
    const cluster = new ConfigCluster();
    const {clock} = cluster.dependencies;
    cluster.publish(0, false);
    await clock.advance(1_000);
    expect(cluster.nodes[0]?.follower.logNowMs).toBe(clock.wallMs());
    cluster.log.isOut = true;
    cluster.start(1);
    cluster.arePeersReachable = false;
    cluster.start(2);
    await clock.advance(1);
    const versions = () => cluster.nodes.map(({follower}) => follower.version);
    expect(versions()).toEqual([1, 1, 0]);
    cluster.arePeersReachable = true;
    await clock.advance(5_000);
    expect(versions()).toEqual([1, 1, 1]);
  });

  /*
   * The reads of node 0 are blocked while a version is published and trimmed,
   * and all checkpoints are refused. Node 0 finds a gap and can learn the
   * version only from its peers once they are reachable. Then its peers are
   * replaced, and node 0 must pass on the version although it never read the
   * record.
   */
  it('learns a trimmed version from peers, and passes it on', async () => {
    const cluster = new ConfigCluster();
    const {clock} = cluster.dependencies;
    const versions = () => cluster.nodes.map(({follower}) => follower.version);
    await clock.advance(100);
    cluster.nodes[0]?.gate.holdReads();
    cluster.publish(1, false);
    await clock.advance(1_000);
    cluster.log.faults.push(...Array<AppendFault>(100).fill('refused'));
    await clock.advance(RETENTION_MS);
    cluster.arePeersReachable = false;
    cluster.nodes[0]?.gate.resume();
    await clock.advance(1_000);
    expect(cluster.nodes[0]?.follower.needsBase).toBe(true);
    cluster.publish(0, false);
    cluster.arePeersReachable = true;
    await clock.advance(10_000);
    expect(versions()).toEqual([1, 1, 1]);
    cluster.arePeersReachable = false;
    cluster.start(1);
    cluster.start(2);
    await clock.advance(1);
    expect(versions()).toEqual([1, 0, 0]);
    cluster.log.faults.length = 0;
    await clock.advance(CONVERGE_MS);
    expect(versions()).toEqual([1, 1, 1]);
    expect(cluster.publishes.map(({outcome}) => outcome)).toEqual([
      'accepted',
      'config-needs-base',
    ]);
  });

  /*
   * One configuration is published, and then nothing for many retention
   * periods, while the VMs are replaced one by one and cannot reach each other.
   * The log trims the record, so only checkpoints preserve the configuration.
   */
  it('keeps the configuration past the retention, without peers', async () => {
    const cluster = new ConfigCluster();
    const {clock} = cluster.dependencies;
    cluster.arePeersReachable = false;
    cluster.publish(0, false);
    for (let round = 0; round < 30; round++) {
      await clock.advance(RETENTION_MS / 3);
      cluster.start(round % NODES);
    }
    await clock.advance(1_000);
    const versions = cluster.nodes.map(({follower}) => follower.version);
    expect(versions).toEqual([1, 1, 1]);
    const elapsedHalves = (30 * RETENTION_MS) / 3 / (RETENTION_MS / 2);
    expect(cluster.log.allRecords.length).toBeLessThan(elapsedHalves * 1.5);
  });
});
