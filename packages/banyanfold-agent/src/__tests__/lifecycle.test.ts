import {afterEach, describe, expect, it} from 'vitest';
import {
  chatBody,
  readFrames,
  readUntilCut,
  sendAttempt,
  startTestAgent,
  until,
} from './testAgent.js';

const GIB = 1024 ** 3;

const stops: Array<() => Promise<void>> = [];
afterEach(async () => {
  for (const stop of stops.splice(0).reverse()) await stop();
});

async function start(options: Parameters<typeof startTestAgent>[0] = {}) {
  const started = await startTestAgent(options);
  stops.push(started.stop);
  return started;
}

type Target = Awaited<ReturnType<typeof start>>;

/** Starts a second agent with the same engine and log. */
function startSecondAgent(target: Target, settings = {}) {
  return start({
    fakeEngine: {
      start: async () => ({port: target.enginePort}),
      stop: async () => {},
    },
    logUrl: target.logUrl,
    settings,
  });
}

let proposals = 0;

function propose(target: Target, fields: Record<string, unknown>) {
  return target.client.propose.mutate({
    proposalId: `p${++proposals}`,
    plannerEpoch: 5,
    kind: 'load',
    ...fields,
  } as Parameters<typeof target.client.propose.mutate>[0]);
}

/** Waits until a load is refused for lack of memory, not for quarantine. */
async function untilQuarantineEnds(target: Target): Promise<Target> {
  await until(async () => {
    const probe = {artifact: 'probe@1', bytes: 1e15};
    return (await propose(target, probe)).reason === 'no-memory';
  });
  return target;
}

const HOUR_MS = 3_600_000;
/** The simulated log uses the system clock. */
const VIEWED_NOW = {viewedAtMs: Date.now()};
const RETIRE_ELSEWHERE = {
  kind: 'retire',
  artifact: 'claims@1',
  reliesOnCopyIds: ['agent-2/claims@1#7.1'],
};

// A previous agent on this VM is paused, not stopped. Once resumed, it sends
// orders as if it were the only agent. It still holds the port, so the new
// agent must neither start nor acquire a fencing token.
describe('start', () => {
  it('fails while another process holds the port', async () => {
    const target = await start();
    const second = startSecondAgent(target, {port: target.port});
    await expect(second).rejects.toMatchObject({
      code: 'port-in-use',
      step: 'listen',
    });
    const fences = await fetch(
      `${target.logUrl}/streams/fences/records?from=1`,
    );
    expect(await fences.json()).toMatchObject({nextOffset: 2});
  });

  // The log is unavailable while an agent starts. It must still serve the
  // copies that the engine holds, and send no order without its own fencing
  // token.
  it('serves requests but sends no orders during a log outage', async () => {
    const target = await start({logUrl: 'http://127.0.0.1:9'});
    const {incarnation} = await target.client.report.query();
    expect(incarnation).toBeLessThan(0);
    const {response} = await sendAttempt(target);
    const {text} = await readUntilCut(response.body);
    expect(readFrames(text).done).toBe(true);
    const refused = await propose(target, {artifact: 'a@1', bytes: GIB});
    expect(refused).toEqual({accepted: false, reason: 'no-fence'});
    expect(target.engine.state.truth.ofKind('order-applied')).toEqual([]);
  });

  it('gets a fencing token after a log outage, keeping attempts', async () => {
    const target = await start();
    const {logStandin} = target;
    logStandin.state.faults.set({outage: 'refuse'});
    const second = await startSecondAgent(target);
    const provisional = (await second.client.report.query()).incarnation;
    expect(provisional).toBeLessThan(0);
    logStandin.state.faults.set({outage: 'none'});
    await until(
      async () => (await second.client.report.query()).incarnation > 0,
    );
    const {response} = await sendAttempt(second, {incarnation: provisional});
    expect(response.statusCode).toBe(200);
    await readUntilCut(response.body);
  });

  it('sends no load order before the late bound without fencing', async () => {
    const settings = {engine: {checksFencing: false, orderLateBoundMs: 60_000}};
    const target = await start({engine: {checksFencing: false}, settings});
    const refused = await propose(target, {artifact: 'a@1', bytes: GIB});
    expect(refused).toEqual({accepted: false, reason: 'quarantine'});
    expect(target.engine.state.truth.ofKind('order-applied')).toEqual([]);
  });
});

// Two agents with different ports are configured for one engine by mistake. The
// engine rejects orders of the older agent, which must then refuse new work.
describe('an agent with an older fencing token', () => {
  it('refuses new work once the engine rejects its order', async () => {
    const older = await untilQuarantineEnds(await start());
    await untilQuarantineEnds(await startSecondAgent(older));
    await propose(older, {artifact: 'a@1', bytes: GIB});
    await until(async () => (await older.client.report.query()).leaving);
    const {truth} = older.engine.state;
    const loads = truth.ofKind('order-applied').map(o => o['artifact']);
    expect(loads).not.toContain('a@1');
  });
});

describe('propose', () => {
  it('refuses an older planner and repeats earlier results', async () => {
    const target = await untilQuarantineEnds(await start());
    const load = {proposalId: 'same', artifact: 'a@1', bytes: GIB};
    const first = await propose(target, load);
    expect(first).toEqual({accepted: true, reason: 'reserved'});
    expect(await propose(target, load)).toEqual(first);
    const again = await propose(target, {artifact: 'a@1', bytes: GIB});
    expect(again).toEqual({accepted: true, reason: 'present'});
    const old = await propose(target, {plannerEpoch: 4, artifact: 'b@1'});
    expect(old).toEqual({accepted: false, reason: 'old-planner'});
    await until(async () => {
      const {copies} = await target.client.report.query();
      return copies.some(c => c.artifact === 'a@1' && c.state === 'held');
    });
    const loads = target.engine.state.truth
      .ofKind('order-applied')
      .filter(order => order['artifact'] === 'a@1');
    expect(loads).toHaveLength(1);
  });

  it.each([
    ['no-memory', {artifact: 'a@1', bytes: 79 * GIB}],
    ['no-model', {artifact: 'a@1+x@1', bytes: 1}],
    ['bad-proposal', {artifact: 'a@1', bytes: 0}],
    ['not-held', {kind: 'retire', artifact: 'a@1', ...VIEWED_NOW}],
    ['relies-on-none', {kind: 'retire', artifact: 'claims@1', ...VIEWED_NOW}],
    ['no-view-time', {kind: 'retire', artifact: 'claims@1'}],
    ['old-view', {...RETIRE_ELSEWHERE, viewedAtMs: Date.now() - HOUR_MS}],
  ])('refuses with %s', async (reason, fields) => {
    const memory = {inheritedRetireHoldMs: 0};
    const target = await untilQuarantineEnds(await start({settings: {memory}}));
    await until(async () => (await propose(target, fields)).reason === reason);
  });

  it('refuses to retire a copy from before the start too early', async () => {
    const target = await untilQuarantineEnds(await start());
    const fields = {kind: 'retire', artifact: 'claims@1'};
    const {reason} = await propose(target, {
      ...fields,
      reliesOnCopyIds: ['elsewhere'],
    });
    expect(reason).toBe('inherited-too-new');
  });

  // A copy is retired while it generates a response. The response must complete
  // before the unload, and the copy must accept no new request.
  it('unloads a retired copy after the last request on it', async () => {
    const memory = {inheritedRetireHoldMs: 0};
    const target = await untilQuarantineEnds(await start({settings: {memory}}));
    const body = chatBody({max_tokens: 60});
    const {response} = await sendAttempt(target, {body});
    const retire = {kind: 'retire', artifact: 'claims@1', ...VIEWED_NOW};
    const reliesOnCopyIds = ['agent-2/claims@1#7.1'];
    await until(
      async () =>
        (await propose(target, {...retire, reliesOnCopyIds})).accepted,
    );
    const refused = await sendAttempt(target);
    expect(await refused.response.body.json()).toMatchObject({
      error: {code: 'not-held'},
    });
    const {text, cut} = await readUntilCut(response.body);
    expect({cut, done: readFrames(text).done}).toEqual({
      cut: false,
      done: true,
    });
    await until(
      async () => (await target.client.report.query()).copies.length === 0,
    );
    const kinds = target.engine.state.truth
      .all()
      .filter(
        ({kind, orderKind}) =>
          kind === 'request-finished' || orderKind === 'unload',
      )
      .map(({kind}) => kind);
    expect(kinds).toEqual(['request-finished', 'order-applied']);
  });

  it('sets the role and reports it', async () => {
    const target = await untilQuarantineEnds(await start());
    const set = {kind: 'set-role', runnerRole: 'desk'};
    expect(await propose(target, set)).toEqual({
      accepted: true,
      reason: 'role-set',
    });
    expect((await target.client.report.query()).runnerRole).toBe('desk');
  });
});
