import {MemoryLogger, Metrics} from '@banyanfold/core';
import {publishedConfigSchema, type PublishedConfig} from '@banyanfold/config';
import {
  createLogService,
  type LogService,
  type Vm,
  type VmListService,
} from '@banyanfold/log';
import {LogStandin} from '@banyanfold/standins';
import {err, errAsync, ok, okAsync} from 'neverthrow';
import {BanyanfoldError} from '@banyanfold/core';
import OpenAI from 'openai';
import {vi} from 'vitest';
import {createEntry, type Entry, type EntrySettingsInput} from '../../index.js';
import {FakeAgent, INTERNAL_KEY, type Behaviour} from './fakeAgent.js';

export const CALLER_KEY = 'counter-key';

export const CONFIG: PublishedConfig = publishedConfigSchema.parse({
  models: [
    {name: 'claims', version: '1', labels: {d: 'c'}, weightBytes: 1_000_000},
    {name: 'hidden', version: '1', labels: {d: 'h'}, weightBytes: 1_000_000},
  ],
  services: [{name: 'lodging', labels: {d: 'l'}}],
  groups: [
    {name: 'counter', labelSelector: {matchLabels: {d: 'c'}}},
    {name: 'hidden-group', labelSelector: {matchLabels: {d: 'h'}}},
    {name: 'lodgings', labelSelector: {matchLabels: {d: 'l'}}},
  ],
  selectors: [
    {
      name: 'lodge',
      match: {names: ['lodging']},
      group: 'lodgings',
      repeatable: false,
    },
    {
      name: 'counter-hurry',
      match: {callers: ['counter'], headers: {'x-hurry': 'yes'}},
      group: 'counter',
      targets: {firstTokenMs: 5_000, wholeAnswerMs: 100},
    },
    {
      name: 'counter',
      match: {callers: ['counter']},
      group: 'counter',
      targets: {firstTokenMs: 5_000, wholeAnswerMs: 10_000},
    },
    {name: 'hide', match: {callers: ['nobody']}, group: 'hidden-group'},
  ],
});

/** The platform, agents and entries of a test. */
export class TestSystem {
  readonly log = new LogStandin();
  readonly agents: FakeAgent[] = [];
  readonly entryVms: Vm[] = [];
  readonly entries: Array<{
    entry: Entry;
    port: number;
    logger: MemoryLogger;
    metrics: Metrics;
  }> = [];
  /** Behaviours of the next calls, shared by all agents. */
  readonly next: Behaviour[] = [];
  readonly nextResumes: Behaviour[] = [];
  leaving = new Set<string>();
  vmListIsDown = false;
  logService!: LogService;
  private asOfMs = 0;

  async start(agentCount = 1, config: PublishedConfig = CONFIG): Promise<void> {
    const {port} = await this.log.start();
    this.logService = createLogService({url: `http://127.0.0.1:${port}`});
    for (let i = 1; i <= agentCount; i++) {
      const agent = new FakeAgent(`agent-${i}`);
      agent.next = this.next;
      agent.nextResumes = this.nextResumes;
      await agent.start();
      this.agents.push(agent);
    }
    await this.publish(config);
  }

  async publish(body: PublishedConfig): Promise<void> {
    const publish = {kind: 'publish', nonce: 'n', publisher: 'test'};
    const value = {...publish, baseVersion: 0, body};
    (await this.logService.append('config', [value]))._unsafeUnwrap();
  }

  /** Starts an entry and adds it to the VM list. Returns its port. */
  async startEntry(
    overrides: Partial<EntrySettingsInput> = {},
    log: LogService = this.logService,
  ): Promise<number> {
    const vmId = overrides.vmId ?? `entry-${this.entries.length + 1}`;
    const logger = new MemoryLogger();
    const metrics = new Metrics();
    const entry = createEntry(
      {...testSettings(vmId), ...overrides},
      {logger, metrics, log, vmList: this.vmList()},
    );
    const {port} = await entry.start();
    this.entries.push({entry, port, logger, metrics});
    this.entryVms.push({
      vmId,
      role: 'entry',
      host: '127.0.0.1',
      port,
      failureDomain: 'a',
      region: 'r',
      state: 'live',
    });
    return port;
  }

  /** Starts an entry and waits until it is ready. Returns its port. */
  async startReadyEntry(
    overrides: Partial<EntrySettingsInput> = {},
    log: LogService = this.logService,
  ): Promise<number> {
    const port = await this.startEntry(overrides, log);
    await vi.waitUntil(() => isReady(port), {timeout: 20_000, interval: 10});
    return port;
  }

  /**
   * A view of the log that can be disconnected independently. A read in flight
   * at that time fails.
   */
  disconnectableLog(): LogService & {isDisconnected: boolean} {
    const {logService} = this;
    const errorContext = {step: 'reach-log', peer: 'log'};
    const logError = () =>
      new BanyanfoldError('log-unavailable', 'cut', errorContext);
    return {
      isDisconnected: false,
      append(...args) {
        return this.isDisconnected
          ? errAsync(logError())
          : logService.append(...args);
      },
      read(...args) {
        if (this.isDisconnected) return errAsync(logError());
        const page = logService.read(...args);
        return page.andThen(value =>
          this.isDisconnected ? err(logError()) : ok(value),
        );
      },
    };
  }

  setLogOutage(outage: 'none' | 'refuse' | 'cut'): void {
    this.log.state.faults.set({outage});
  }

  /** Returns and resets the counts of calls, resumes and runs at all agents. */
  takeCounts(): {calls: number; resumes: number; ran: number} {
    const counts = {calls: 0, resumes: 0, ran: 0};
    for (const agent of this.agents) {
      counts.calls += agent.calls.splice(0).length;
      counts.resumes += agent.resumes.splice(0).length;
      counts.ran += agent.ran;
      agent.ran = 0;
    }
    return counts;
  }

  get logLines(): string[] {
    return this.entries.flatMap(({logger}) => logger.lines);
  }

  async stop(): Promise<void> {
    for (const {entry} of this.entries) await entry.stop();
    for (const agent of this.agents) await agent.stop();
    await this.log.stop();
  }

  private vmList(): VmListService {
    return {
      read: () => {
        if (this.vmListIsDown) {
          const errorContext = {step: 'read-vm-list', peer: 'vm-list'};
          return errAsync(
            new BanyanfoldError('vm-list-unavailable', 'down', errorContext),
          );
        }
        const agents = this.agents.map(agent =>
          agent.vm(this.leaving.has(agent.vmId) ? 'leaving' : 'live'),
        );
        const vms = [...agents, ...this.entryVms];
        return okAsync({asOfMs: ++this.asOfMs, vms});
      },
    };
  }
}

function testSettings(vmId: string): EntrySettingsInput {
  return {
    vmId,
    host: '127.0.0.1',
    port: 0,
    region: 'r',
    failureDomain: 'a',
    internalKey: INTERNAL_KEY,
    operatorKey: 'operator',
    platform: {logUrl: 'http://127.0.0.1:1', vmListUrl: 'http://127.0.0.1:1'},
    callers: [
      {name: 'counter', key: CALLER_KEY, maxConcurrent: 8},
      {name: 'other', key: 'other-key'},
    ],
    vmListIntervalMs: 20,
    reportIntervalMs: 20,
    drainNoticeMs: 0,
    configLogWaitMs: 50,
    planner: {enabled: false},
    attempts: {resumeBackoffMs: 5, resumeMs: 100, streamIdleMs: 200},
  };
}

export async function isReady(port: number): Promise<boolean> {
  const response = await fetch(`http://127.0.0.1:${port}/readyz`);
  return response.ok;
}

/** An OpenAI client without its own retries. */
export function openaiClient(port: number, apiKey = CALLER_KEY): OpenAI {
  const baseURL = `http://127.0.0.1:${port}/v1`;
  return new OpenAI({baseURL, apiKey, maxRetries: 0});
}

export const CHAT = {
  model: 'claims',
  messages: [{role: 'user' as const, content: 'Am I eligible?'}],
};

export interface HttpAnswer {
  status: number;
  outcome: string | null;
  retryAfter: string | null;
  text: string;
  code: string | undefined;
}

/** Sends a plain HTTP request, without an API client. */
export async function post(
  port: number,
  path: string,
  options: {headers?: Record<string, string>; body?: string} = {},
): Promise<HttpAnswer> {
  const response = await fetch(`http://127.0.0.1:${port}${path}`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${CALLER_KEY}`,
      'content-type': 'application/json',
      ...options.headers,
    },
    body: options.body ?? JSON.stringify(CHAT),
  });
  const text = await response.text();
  return {
    status: response.status,
    outcome: response.headers.get('x-banyanfold-outcome'),
    retryAfter: response.headers.get('retry-after'),
    text,
    code: codeOf(text),
  };
}

function codeOf(text: string): string | undefined {
  try {
    return (JSON.parse(text) as {error?: {code?: string}}).error?.code;
  } catch {
    return undefined;
  }
}
