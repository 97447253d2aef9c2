import type {AgentReport} from '@banyanfold/protocol';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {
  CallerClient,
  Stack,
  modelsOf,
  testConfig,
  waitUntil,
} from '../index.js';

const NAMES = ['claims', 'letters', 'routes', 'tenancy'];
const DOMAINS = ['domain-a', 'domain-b', 'domain-c'];
const VM_LIST_LAG_MS = 800;

let stack: Stack;
let client: CallerClient;
let prompts = 0;

beforeEach(async () => {
  client = new CallerClient();
  stack = await Stack.start({
    entries: 3,
    agents: 3,
    failureDomains: DOMAINS,
    // Any two servers have room for all.
    engine: {memoryCapacityBytes: 7_000},
    published: testConfig({models: modelsOf(NAMES, '1')}),
  });
  await stack.setFaults('vm-list', {lagMs: VM_LIST_LAG_MS});
  stack.startBalancer();
  await everyModelAnswers();
});

afterEach(async ({task}) => {
  if (task.result?.state === 'fail') console.error(stack.describe());
  await client.close();
  await stack.end();
});

async function answers(model: string): Promise<boolean> {
  const [entryUrl = stack.entryUrl()] = stack.readyEntryUrls();
  const prompt = `reachable ${prompts++}`;
  const call = {model, prompt, maxTokens: 3};
  return (await client.askModel(entryUrl, call)).end === 'whole';
}

async function everyModelAnswers(): Promise<void> {
  await Promise.all(
    NAMES.map(model => waitUntil(`${model} answers`, () => answers(model))),
  );
}

/** Takes VMs away for good; the platform's list may go on to name them. */
async function lose({vmIds, isListed}: Loss): Promise<void> {
  await Promise.all(vmIds.map(vmId => stack.kill(vmId)));
  for (const vmId of vmIds.filter(id => id.startsWith('agent'))) {
    const engine = vmId.replace('agent', 'engine');
    await stack.setFaults(engine, {outage: 'cut'});
  }
  if (!isListed) await stack.setVmList([], vmIds);
}

function vmsOf(failureDomain: string): string[] {
  return [...stack.entries, ...stack.agents]
    .filter(node => node.failureDomain === failureDomain)
    .map(({vmId}) => vmId);
}

interface Loss {
  vmIds: readonly string[];
  isListed?: boolean;
}

interface LossCase {
  name: string;
  loss(): Loss;
}

const LOSSES: LossCase[] = [
  ...['agent-1', 'agent-2', 'agent-3'].map(vmId => ({
    name: `the server of ${vmId}`,
    loss: () => ({vmIds: [vmId]}),
  })),
  {name: 'one entry', loss: () => ({vmIds: ['entry-1']})},
  ...DOMAINS.map(domain => ({
    name: `all of ${domain}`,
    loss: () => ({vmIds: vmsOf(domain)}),
  })),
  {
    name: 'a server that the VM list names on and on',
    loss: () => ({vmIds: ['agent-1'], isListed: true}),
  },
];

describe('a labelled model', () => {
  // The caller is refused for a while, or sees its answer break off, and then
  // the model answers again. A VM, or all of a failure domain, goes without
  // notice while the VM list still names it; the planner, which may have gone
  // with it, sees the agents silent and has their models loaded elsewhere.
  it.each(LOSSES)('answers again after the loss of $name', async ({loss}) => {
    await lose(loss());
    await everyModelAnswers();
  });

  // The caller of a model that was lost with its server is refused while the
  // log is out, if the entry that plans went too, and is answered after. Models
  // that are held answer all along: an outage of the log stops no request.
  it('answers again when the log was out during the loss', async () => {
    await stack.setFaults('log', {outage: 'cut'});
    const lost = await heldBy(0);
    await lose({vmIds: ['agent-1']});
    const kept = NAMES.filter(name => !lost.includes(name));
    await Promise.all(
      kept.map(model => waitUntil(`${model} answers`, () => answers(model))),
    );
    await stack.setFaults('log', {outage: 'none'});
    await everyModelAnswers();
  });

  // The caller notices nothing. Both copies of a model are proposed for
  // retirement at the same time, each relying on the other, as two planners
  // with old views would; the log puts one first, and the other must stay.
  it('keeps its last copy when both are retired at once', async () => {
    const [model = ''] = await heldBy(0);
    const artifact = `${model}@1`;
    await loadSecondCopy(artifact);
    const reports = await allReports();
    const holders = reports.flatMap(({copies}, index) =>
      copies
        .filter(copy => copy.artifact === artifact && copy.state === 'held')
        .map(({copyId}) => ({index, copyId})),
    );
    expect(holders.length).toBe(2);
    const results = await Promise.all(
      holders.map(({index, copyId}) =>
        stack.propose(index, {
          kind: 'retire',
          artifact,
          reliesOnCopyIds: holders
            .map(holder => holder.copyId)
            .filter(id => id !== copyId),
        }),
      ),
    );
    expect(results.filter(({accepted}) => accepted).length).toBe(1);
    await waitUntil('one copy has gone', async () => {
      return (await copiesOf(artifact)) === 1;
    });
    expect(await answers(model)).toBe(true);
  });
});

async function allReports(): Promise<AgentReport[]> {
  return Promise.all(stack.agents.map((_, index) => stack.agentReport(index)));
}

async function heldBy(index: number): Promise<string[]> {
  const {copies} = await stack.agentReport(index);
  return copies.map(({artifact}) => artifact.split('@')[0] ?? '');
}

async function copiesOf(artifact: string): Promise<number> {
  const copies = (await allReports()).flatMap(report => report.copies);
  return copies.filter(copy => copy.artifact === artifact).length;
}

async function loadSecondCopy(artifact: string): Promise<void> {
  const reports = await allReports();
  const index = reports.findIndex(
    ({copies, memoryFreeBytes}) =>
      memoryFreeBytes >= 3_000 &&
      copies.every(copy => copy.artifact !== artifact),
  );
  await stack.propose(index, {kind: 'load', artifact, bytes: 3_000});
  await waitUntil('two copies are held', async () => {
    const copies = (await allReports()).flatMap(report => report.copies);
    const held = copies.filter(({state}) => state === 'held');
    return held.filter(copy => copy.artifact === artifact).length === 2;
  });
}
