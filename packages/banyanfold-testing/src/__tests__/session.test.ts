import {request} from 'undici';
import {v7 as uuidV7} from 'uuid';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {STACK_KEYS, Stack, testConfig, waitUntil} from '../index.js';

const MODEL = 'claims';

/** Lines that come in no fixed order with those of requests. */
const BACKGROUND_EVENTS = ['config-in-force', 'planner-claimed'];

/** The lines of decisions, and what ended them. */
const EVENTS: Record<string, readonly string[]> = {
  'entry-1': [
    'move',
    'route',
    'attempt',
    'request',
    'stopping',
    'drain-started',
    'drain-finished',
    'stopped',
  ],
  'agent-1': [
    'proposal',
    'order',
    'ledger',
    'admission',
    'dispatch',
    'attempt',
    'service-call',
    'stopping',
    'drain',
    'drained',
    'stopped',
  ],
};

const NORMALISED: ReadonlyArray<[RegExp, string]> = [
  [/^time=\S+ level=\w+ /, ''],
  [/\b[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}\b/g, '<uuid>'],
  [/\b(pid|port|attempt)=\d+/g, '$1=<$1>'],
  [/\b(\w+Ms)=[\d.]+/g, '$1=<ms>'],
  [/\b(agent-\d):\d+(\.\d+)?:/g, '$1:<ms>:'],
  [/[\d.]+ms\b/g, '<ms>'],
  [/"created":\d+/g, '"created":<time>'],
];

let stack: Stack;

beforeEach(async () => {
  stack = await Stack.start({
    entries: 1,
    agents: 1,
    published: testConfig({models: [{name: MODEL, version: '1'}]}),
  });
});

afterEach(async () => {
  await stack.end();
});

function normalise(text: string): string {
  return NORMALISED.reduce(
    (value, [pattern, by]) => value.replace(pattern, by),
    text,
  );
}

function linesOf(name: string, events: readonly string[]): string[] {
  return stack
    .process(name)
    .lines.filter(line => events.includes(/event=(\S+)/.exec(line)?.[1] ?? ''))
    .map(normalise);
}

function logOf(name: string) {
  return {
    background: linesOf(name, BACKGROUND_EVENTS).sort(),
    decisions: linesOf(name, EVENTS[name] ?? []),
  };
}

async function isServed(artifact: string): Promise<boolean> {
  const {agents} = await stack.status();
  return agents.some(({artifacts}) => artifacts.includes(artifact));
}

async function ask(path: string, body: object, headers = {}) {
  const answer = await request(`${stack.entryUrl()}${path}`, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      authorization: `Bearer ${STACK_KEYS.caller}`,
      ...headers,
    },
    body: JSON.stringify(body),
  });
  const text = normalise(await answer.body.text());
  return {
    status: answer.statusCode,
    contentType: answer.headers['content-type'],
    outcome: answer.headers['x-banyanfold-outcome'],
    lines: text.split('\n').filter(line => line !== ''),
  };
}

describe('a session', () => {
  // What operators and callers see, and the log line of each decision, from the
  // first publish over a request, a stream, a call that may not be repeated and
  // a refusal to a change of version and the drain of both processes.
  it('goes as in the golden file', async () => {
    const messages = [{role: 'user', content: 'Is a tenant eligible?'}];
    const chat = {model: MODEL, messages, max_tokens: 3};
    const path = '/v1/chat/completions';
    await waitUntil('version 1 is served', () => isServed(`${MODEL}@1`));
    const callers = {
      answer: await ask(path, chat),
      stream: await ask(path, {...chat, stream: true}),
      unknownModel: await ask(path, {...chat, model: 'letters'}),
      lodged: await ask(
        '/services/lodging/claims',
        {member: 1},
        {'idempotency-key': uuidV7()},
      ),
      keyMissing: await ask('/services/lodging/claims', {member: 1}),
    };
    const next = testConfig({models: [{name: MODEL, version: '2'}]});
    const version = await stack.publish(next, 1);
    await waitUntil('version 2 is served', () => isServed(`${MODEL}@2`));
    const afterChange = await ask(path, chat);
    await stack.process('entry-1').end('SIGTERM');
    await stack.process('agent-1').end('SIGTERM');
    expect({
      callers,
      publishedVersion: version,
      afterChange,
      entry: logOf('entry-1'),
      agent: logOf('agent-1'),
    }).toMatchSnapshot();
  });
});
