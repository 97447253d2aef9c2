import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {rendezvousOrder} from '@banyanfold/log';
import {eventually} from './kit/eventually.js';
import {TestSystem, isReady, post} from './kit/testSystem.js';

const PLANNING = {planner: {enabled: true, intervalMs: 20, loadsPerSecond: 50}};

let system: TestSystem;

beforeEach(async () => {
  system = new TestSystem();
  await system.start(2);
  for (const agent of system.agents) agent.artifacts = [];
});
afterEach(() => system.stop());

function proposals() {
  return system.agents.flatMap(agent => agent.proposals);
}

async function epochs(): Promise<number[]> {
  const statuses = await Promise.all(
    system.entries.map(({entry}) => entry.handlers.status()),
  );
  return statuses.map(({plannerEpoch}) => plannerEpoch);
}

describe('the planner plug-in', () => {
  it('loads labelled models, and logs the reason for each move', async () => {
    const port = await system.startReadyEntry(PLANNING);
    await eventually(
      async () => (await post(port, '/v1/chat/completions')).status,
    ).toBe(200);
    const loaded = proposals().map(({artifact}) => artifact);
    expect(loaded).toEqual(expect.arrayContaining(['claims@1', 'hidden@1']));
    const moves = system.logLines.filter(line => line.includes('event=move'));
    expect(moves.length).toBe(proposals().length);
    for (const move of moves) expect(move).toMatch(/ reason=\S+ epoch=\d+ /);
    for (const {viewedAtMs} of proposals()) {
      expect(viewedAtMs).toBeTypeOf('number');
    }
  });

  // The first entry plans alone. Once both are listed, rendezvous hashing
  // selects the second; the first must hand over, or both would go on loading.
  it('hands over to the entry selected from the VM list', async () => {
    const ids = ['entry-1', 'entry-2', 'entry-3'];
    const [second, first] = rendezvousOrder('planner', ids);
    await system.startReadyEntry({...PLANNING, vmId: first!});
    await eventually(async () => (await epochs())[0]).toBeGreaterThan(0);
    const [firstEpoch] = await epochs();
    await system.startReadyEntry({...PLANNING, vmId: second!});
    await eventually(async () => (await epochs())[0]).toBe(0);
    await eventually(async () => (await epochs())[1]).toBeGreaterThan(
      firstEpoch!,
    );
  });

  // The log becomes unavailable after the planner has claimed its epoch, and an
  // agent loses its copy. The planner must load the model again although it
  // can't claim a new epoch.
  it('keeps planning with its epoch while the log is down', async () => {
    await system.startReadyEntry(PLANNING);
    await eventually(() => proposals().length).toBeGreaterThanOrEqual(2);
    system.setLogOutage('refuse');
    const before = proposals().length;
    for (const agent of system.agents) agent.artifacts = [];
    await eventually(() => proposals().length).toBeGreaterThan(before);
    const all = proposals().map(({plannerEpoch}) => plannerEpoch);
    expect(new Set(all).size).toBe(1);
  });

  // Agents refuse the older of two racing planners by its epoch. Without one,
  // both would load.
  it('proposes nothing without an epoch', async () => {
    await system.startReadyEntry();
    system.setLogOutage('refuse');
    await system.startReadyEntry({...PLANNING, vmId: 'entry-planner'});
    const {entry} = system.entries[1]!;
    await eventually(() => system.logLines.join('\n')).toContain(
      'planner-claim-failed',
    );
    const initialRounds = rounds(1);
    await eventually(() => rounds(1)).toBeGreaterThan(initialRounds + 5);
    expect((await entry.handlers.status()).plannerEpoch).toBe(0);
    expect(proposals()).toEqual([]);
  });

  // Several planner rounds pass before the next report. An accepted load must
  // not be proposed again in between.
  it('proposes a load once although the reports lag', async () => {
    const port = await system.startEntry({
      planner: {...PLANNING.planner, intervalMs: 1, loadsPerSecond: 1_000},
      reportIntervalMs: 60_000,
    });
    await eventually(() => isReady(port)).toBe(true);
    await eventually(() => proposals().length).toBeGreaterThanOrEqual(2);
    const before = (await system.entries[0]!.entry.handlers.status())
      .plannerEpoch;
    expect(before).toBeGreaterThan(0);
    await eventually(() => rounds()).toBeGreaterThan(20);
    const artifacts = proposals().map(({artifact}) => artifact);
    expect(artifacts.toSorted()).toEqual(['claims@1', 'hidden@1']);
  });

  // One agent reports late. Its copies must not count as missing, or they would
  // be loaded elsewhere without need.
  it('waits until every live agent has reported', async () => {
    const [agent1, agent2] = system.agents;
    let releaseReports = () => {};
    agent2!.reportGate = new Promise(resolve => {
      releaseReports = resolve;
    });
    agent2!.artifacts = ['claims@1', 'hidden@1'];
    await system.startReadyEntry({...PLANNING, reportTimeoutMs: 30_000});
    await eventually(() => rounds()).toBeGreaterThan(5);
    releaseReports();
    await eventually(() => countReachableAgents()).toBe(2);
    const roundsBefore = rounds();
    await eventually(() => rounds()).toBeGreaterThan(roundsBefore + 5);
    expect(agent1!.proposals).toEqual([]);
  });
});

/** The number of rounds that the planner of an entry has run. */
function rounds(entry = 0): number {
  return system.entries[entry]!.metrics.counterValue('planner_rounds_total');
}

async function countReachableAgents(): Promise<number> {
  const {agents} = await system.entries[0]!.entry.handlers.status();
  return agents.filter(({reachable}) => reachable).length;
}
