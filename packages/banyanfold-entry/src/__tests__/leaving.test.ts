import {once} from 'node:events';
import {request, type IncomingMessage} from 'node:http';
import {connect} from 'node:net';
import {createEntryClient} from '@banyanfold/protocol';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {
  answerJson,
  answerWhole,
  framesOf,
  writeStreamHead,
} from './kit/behaviours.js';
import {INTERNAL_KEY, type AttemptCall} from './kit/fakeAgent.js';
import {eventually} from './kit/eventually.js';
import {CALLER_KEY, CHAT, TestSystem, isReady, post} from './kit/testSystem.js';

const CHAT_PATH = '/v1/chat/completions';
/** Larger than the buffers of a loopback connection. */
const LONG_ANSWER_CHARS = 8_000_000;

let system: TestSystem;

beforeEach(async () => {
  system = new TestSystem();
  await system.start(2);
});
afterEach(() => system.stop());

describe('createEntry, VMs that leave', () => {
  // The VM list may lag behind the agent's report or the other way round. New
  // requests to a leaving server would be cut off when it stops.
  it.each([
    [
      'the VM list marks it leaving',
      (vmId: string) => system.leaving.add(vmId),
    ],
    [
      'its own report says it leaves',
      (vmId: string) => {
        system.agents.find(agent => agent.vmId === vmId)!.leaving = true;
      },
    ],
  ])('sends no new requests to an agent when %s', async (_name, leave) => {
    const port = await system.startReadyEntry();
    leave('agent-1');
    const [agent1, agent2] = system.agents;
    await eventually(
      () => system.logLines.length && explainCandidates(port),
    ).toContainEqual(['agent-1', 'leaving']);
    agent1!.calls.length = 0;
    for (let i = 0; i < 6; i++) await post(port, CHAT_PATH);
    expect(agent1!.calls).toHaveLength(0);
    expect(agent2!.calls.length).toBeGreaterThanOrEqual(6);
  });

  it('keeps the last view while the VM list cannot be read', async () => {
    const port = await system.startReadyEntry();
    system.vmListIsDown = true;
    await eventually(() =>
      system.logLines.some(line => line.includes('vm-list-failed')),
    ).toBe(true);
    expect((await post(port, CHAT_PATH)).status).toBe(200);
  });

  // An operator drains the entry during a long stream. Readiness fails and new
  // connections are refused, but the stream must run to its end marker.
  it('finishes an open stream before the drain ends', async () => {
    const port = await system.startReadyEntry();
    const {entry} = system.entries[0]!;
    let call: AttemptCall | undefined;
    system.next.push(taken => {
      call = taken;
      writeStreamHead(taken);
      taken.res.write(framesOf(taken)[0]!);
    });
    const response = await fetch(`http://127.0.0.1:${port}${CHAT_PATH}`, {
      method: 'POST',
      headers: {authorization: `Bearer ${CALLER_KEY}`},
      body: JSON.stringify({...CHAT, stream: true}),
    });
    const drained = entry.drain();
    await eventually(() => post(port, CHAT_PATH).catch(toRefused)).toBe(
      'refused',
    );
    call!.res.end(framesOf(call!).slice(1).join(''));
    expect(await response.text()).toContain('[DONE]');
    await drained;
    expect(system.logLines.at(-1)).toContain('drain-finished');
  });

  it('logs the requests that a drain cuts off at its deadline', async () => {
    await system.startReadyEntry({drainBoundMs: 30});
    const {entry, port} = system.entries[0]!;
    system.next.push(() => {});
    const cutOff = post(port, CHAT_PATH).catch(toRefused);
    await eventually(() => system.takeCounts().calls).toBe(1);
    await entry.drain();
    expect(system.logLines.join('\n')).toContain(
      'event=drain-bound-passed cutOff=1',
    );
    await entry.stop();
    await cutOff;
  });

  // Guards against passing on a request that the stop of the entry cuts off.
  it('takes on no request once its drain has ended', async () => {
    const port = await system.startReadyEntry();
    const {entry} = system.entries[0]!;
    const socket = connect(port, '127.0.0.1');
    await once(socket, 'connect');
    const closed = new Promise(resolve => socket.once('close', resolve));
    socket.on('error', () => {});
    socket.resume();
    await entry.drain();
    const body = JSON.stringify(CHAT);
    socket.write(
      `POST ${CHAT_PATH} HTTP/1.1\r\nHost: entry\r\n` +
        `Authorization: Bearer ${CALLER_KEY}\r\n` +
        `Content-Length: ${body.length}\r\n\r\n${body}`,
    );
    await Promise.race([closed, eventuallyCalled()]);
    await entry.stop();
    expect(system.takeCounts().calls).toBe(0);
  });

  // Guards against closing a connection whose response is not yet flushed.
  it('leaves a slow caller the time to read its answer', async () => {
    const port = await system.startReadyEntry();
    const {entry} = system.entries[0]!;
    const text = 'x'.repeat(LONG_ANSWER_CHARS);
    system.next.push(call => answerJson(call, JSON.stringify({text})));
    const headers = {authorization: `Bearer ${CALLER_KEY}`};
    const response = await new Promise<IncomingMessage>(resolve => {
      request({port, path: CHAT_PATH, method: 'POST', headers})
        .on('response', resolve)
        .end(JSON.stringify(CHAT));
    });
    const drained = entry.drain();
    await eventually(() => post(port, CHAT_PATH).catch(toRefused)).toBe(
      'refused',
    );
    let chars = 0;
    for await (const chunk of response) chars += (chunk as Buffer).length;
    expect(chars).toBeGreaterThan(LONG_ANSWER_CHARS);
    await drained;
  });

  it('is not ready and closes keep-alive connections while leaving', async () => {
    const port = await system.startReadyEntry({drainNoticeMs: 60_000});
    const client = createEntryClient({
      host: '127.0.0.1',
      port,
      internalKey: INTERNAL_KEY,
    });
    let call: AttemptCall | undefined;
    system.next.push(taken => {
      call = taken;
    });
    const before = headOf(port, CHAT_PATH, JSON.stringify(CHAT));
    await eventually(() => call !== undefined).toBe(true);
    await client.drain.mutate();
    expect(await isReady(port)).toBe(false);
    expect((await client.status.query()).leaving).toBe(true);
    const later = await headOf(port);
    expect(later.headers.connection).toBe('close');
    answerWhole(call!);
    expect((await before).headers.connection).toBe('close');
  });
});

describe('createEntry, readiness', () => {
  it('is not ready without a configuration, and refuses requests', async () => {
    system.setLogOutage('refuse');
    const port = await system.startEntry();
    expect(await isReady(port)).toBe(false);
    const answer = await post(port, CHAT_PATH);
    expect([answer.status, answer.outcome, answer.code]).toEqual([
      503,
      'not-run',
      'not_ready',
    ]);
  });

  // A VM is replaced while the log is down. It must fetch the active
  // configuration from its peers and serve.
  it('fetches the configuration from a peer while the log is down', async () => {
    await system.startReadyEntry();
    system.setLogOutage('cut');
    const port = await system.startReadyEntry();
    for (const agent of system.agents) agent.fallback = answerWhole;
    expect((await post(port, CHAT_PATH)).status).toBe(200);
    const [first, second] = await Promise.all(
      system.entries.map(({entry}) => entry.handlers.status()),
    );
    expect(second!.configVersion).toBe(first!.configVersion);
  });

  it('rejects control calls without the internal key', async () => {
    const port = await system.startReadyEntry();
    const client = createEntryClient({
      host: '127.0.0.1',
      port,
      internalKey: CALLER_KEY,
    });
    await expect(client.status.query()).rejects.toThrow();
  });
});

const toRefused = () => 'refused' as const;

async function eventuallyCalled(): Promise<void> {
  await eventually(() =>
    system.agents.some(({calls}) => calls.length > 0),
  ).toBe(true);
}

async function explainCandidates(_port: number) {
  const {entry} = system.entries[0]!;
  const {candidates} = await entry.handlers.explain({
    caller: 'counter',
    desk: '',
    requestedName: 'claims',
    headers: {},
  });
  return candidates.map(({vmId, reason}) => [vmId, reason]);
}

function headOf(
  port: number,
  path = '/healthz',
  body = '',
): Promise<IncomingMessage> {
  const headers = {
    connection: 'keep-alive',
    authorization: `Bearer ${CALLER_KEY}`,
  };
  const method = body === '' ? 'GET' : 'POST';
  return new Promise((resolve, reject) => {
    request({port, path, method, headers})
      .on('response', resolve)
      .on('error', reject)
      .end(body);
  });
}
