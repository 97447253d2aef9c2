import {randomUUID} from 'node:crypto';
import {MemoryLogger, Metrics} from '@banyanfold/core';
import {createAgentClient, HEADERS} from '@banyanfold/protocol';
import {EngineStandin, LogStandin} from '@banyanfold/standins';
import {Agent as Dispatcher, request} from 'undici';
import {createAgent, type Agent} from '../agent.js';
import type {AgentSettingsInput} from '../settings.js';

export const INTERNAL_KEY = 'test-internal-key';
export const MODEL = 'claims@1';
const GIB = 1024 ** 3;

type EngineOptions = ConstructorParameters<typeof EngineStandin>[0];

export interface TestAgentOptions {
  engine?: EngineOptions;
  /** Replaces the simulated engine. */
  fakeEngine?: {start(): Promise<{port: number}>; stop(): Promise<void>};
  settings?: Partial<Omit<AgentSettingsInput, 'engine'>> & {
    engine?: Partial<AgentSettingsInput['engine']>;
  };
  logUrl?: string;
}

/** Starts an agent with a simulated engine and log on free loopback ports. */
export async function startTestAgent(options: TestAgentOptions = {}) {
  const logStandin = new LogStandin();
  const logUrl =
    options.logUrl ?? `http://127.0.0.1:${(await logStandin.start()).port}`;
  const engine = new EngineStandin({
    models: [{artifact: MODEL, bytes: 4 * GIB}],
    baseStepMs: 2,
    stepMsPerSequence: 0,
    reportLagMs: 5,
    unloadMs: 5,
    loadBytesPerSecond: 1e12,
    ...options.engine,
  });
  const usedEngine = options.fakeEngine ?? engine;
  const enginePort = (await usedEngine.start()).port;
  const logger = new MemoryLogger();
  const metrics = new Metrics();
  const agent = createAgent(
    {
      vmId: 'agent-1',
      port: 0,
      internalKey: INTERNAL_KEY,
      reportIntervalMs: 10,
      resumeWindowMs: 200,
      platform: {logUrl},
      ...options.settings,
      engine: {
        url: `http://127.0.0.1:${enginePort}`,
        checksFencing: true,
        retryDelayMs: 5,
        ...options.settings?.engine,
      },
    },
    {logger, metrics},
  );
  const stop = async () => {
    await agent.stop();
    await usedEngine.stop();
    if (!options.logUrl) await logStandin.stop();
  };
  const {port} = await agent.start().catch(async (error: unknown) => {
    await stop();
    throw error;
  });
  const client = createAgentClient({
    host: '127.0.0.1',
    port,
    internalKey: INTERNAL_KEY,
  });
  return {
    agent,
    port,
    engine,
    enginePort,
    logStandin,
    logUrl,
    logger,
    metrics,
    client,
    openAttempts: () => {
      const line = /^agent_open_attempts (\d+)$/m.exec(metrics.render());
      return Number(line?.[1]);
    },
    stop,
  };
}

export interface AttemptOptions {
  attemptId?: string;
  requestId?: string;
  path?: string;
  body?: Record<string, unknown>;
  headers?: Record<string, string>;
  incarnation?: number;
  signal?: AbortSignal;
}

const dispatcher = new Dispatcher({pipelining: 0});

/** Sends an attempt with the headers that an entry sets. */
export async function sendAttempt(
  target: {agent: Agent; port: number},
  options: AttemptOptions = {},
) {
  const attemptId = options.attemptId ?? randomUUID();
  const requestId = options.requestId ?? randomUUID();
  const {incarnation} = await target.agent.handlers.report();
  const path = options.path ?? 'v1/chat/completions';
  const response = await request(
    `http://127.0.0.1:${target.port}/attempt/${path}`,
    {
      method: 'POST',
      dispatcher,
      signal: options.signal,
      headers: {
        authorization: `Bearer ${INTERNAL_KEY}`,
        'content-type': 'application/json',
        [HEADERS.attemptId]: attemptId,
        [HEADERS.requestId]: requestId,
        [HEADERS.incarnation]: String(options.incarnation ?? incarnation),
        [HEADERS.artifact]: MODEL,
        [HEADERS.priority]: '1',
        [HEADERS.firstTokenBudgetMs]: '60000',
        [HEADERS.promptTokens]: '10',
        [HEADERS.maxTokens]: '8',
        ...options.headers,
      },
      body: JSON.stringify(options.body ?? chatBody()),
    },
  );
  return {attemptId, requestId, response};
}

export function chatBody(
  fields: Record<string, unknown> = {},
): Record<string, unknown> {
  return {
    model: 'claims',
    stream: true,
    max_tokens: 8,
    messages: [{role: 'user', content: 'is the member eligible?'}],
    ...fields,
  };
}

/** Reads a body up to its end or until the connection is closed early. */
export async function readUntilCut(
  body: AsyncIterable<Uint8Array>,
): Promise<{text: string; cut: boolean}> {
  const decoder = new TextDecoder();
  let text = '';
  try {
    for await (const chunk of body) {
      text += decoder.decode(chunk, {stream: true});
    }
    return {text, cut: false};
  } catch {
    return {text, cut: true};
  }
}

/** Parses the event frames of an attempt's response. */
export function readFrames(text: string): {
  ids: string[];
  chunkIds: Set<string>;
  content: string;
  done: boolean;
} {
  const ids: string[] = [];
  const chunkIds = new Set<string>();
  let content = '';
  let done = false;
  for (const frame of text.split('\n\n').filter(Boolean)) {
    const [idLine = '', dataLine = ''] = frame.split('\n');
    ids.push(idLine.replace('id: ', ''));
    const data = dataLine.replace('data: ', '');
    if (data === '[DONE]') {
      done = true;
      continue;
    }
    const chunk = JSON.parse(data) as {
      id: string;
      choices: Array<{delta?: {content?: string}}>;
    };
    chunkIds.add(chunk.id);
    content += chunk.choices[0]?.delta?.content ?? '';
  }
  return {ids, chunkIds, content, done};
}

/** Polls until the condition holds; only the test's timeout limits the wait. */
export async function until(
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  while (!(await condition())) {
    await new Promise(resolve => setTimeout(resolve, 5));
  }
}
