import {randomUUID} from 'node:crypto';
import {LogStandin} from '@banyanfold/standins';
import {waitUntil} from '@banyanfold/testing';
import {request} from 'undici';
import {configOf, modelName} from '../fixtures.js';
import type {
  EntryHostOptions,
  HostSample,
  PeerOptions,
} from './hostMessages.js';
import {HostProcess} from './hostProcess.js';

const HOST = '127.0.0.1';
const INTERNAL_KEY = 'bench-internal-key';
const CALLER_KEY = 'bench-caller-key';
const MODELS = 1_200;
const OK = 200;

export type RigOptions = Partial<PeerOptions> &
  Partial<Pick<EntryHostOptions, 'reportIntervalMs' | 'vmListIntervalMs'>> & {
    agents: number;
    models?: number;
  };

/** What happened at the entry and at its peers between two readings. */
export interface RigWindow {
  seconds: number;
  entryCpuUs: number;
  peersCpuUs: number;
  served: Record<string, number>;
}

/** One real entry in a process of its own, with peers in another. */
export class EntryRig {
  private constructor(
    readonly entry: HostProcess,
    readonly peers: HostProcess,
    private readonly log: LogStandin,
    readonly url: string,
  ) {}

  static async start(options: RigOptions): Promise<EntryRig> {
    const log = new LogStandin({port: 0});
    const entry = HostProcess.start();
    const peers = HostProcess.start();
    const {port: logPort} = await log.start();
    log.state.append('config', [publishOf(options.models ?? MODELS)]);
    const {port: vmListPort} = await peers.ask({
      kind: 'start-peers',
      options: {
        internalKey: INTERNAL_KEY,
        report: {},
        tokens: 4,
        tokenIntervalMs: 2,
        otherVms: 0,
        ...options,
      },
    });
    const {port} = await entry.ask({
      kind: 'start-entry',
      options: {
        vmListPort,
        logPort,
        internalKey: INTERNAL_KEY,
        callerKey: CALLER_KEY,
        reportIntervalMs: options.reportIntervalMs ?? 2_000,
        vmListIntervalMs: options.vmListIntervalMs ?? 60_000,
      },
    });
    const rig = new EntryRig(entry, peers, log, `http://${HOST}:${port}`);
    await rig.ready(options.agents);
    return rig;
  }

  /** Runs the work, or waits so long, and says what it cost. */
  async during(work: number | (() => Promise<unknown>)): Promise<RigWindow> {
    const before = await this.readings();
    const startedMs = performance.now();
    if (typeof work === 'number') await pause(work);
    else await work();
    const after = await this.readings();
    const served: Record<string, number> = {};
    for (const [kind, count] of Object.entries(after.peers.served)) {
      served[kind] = count - (before.peers.served[kind] ?? 0);
    }
    return {
      seconds: (performance.now() - startedMs) / 1_000,
      entryCpuUs: after.entry.cpuUs - before.entry.cpuUs,
      peersCpuUs: after.peers.cpuUs - before.peers.cpuUs,
      served,
    };
  }

  /** Sends one streamed request and reads its whole answer. */
  async callModel(index: number): Promise<void> {
    const answer = await request(`${this.url}/v1/chat/completions`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${CALLER_KEY}`,
        'content-type': 'application/json',
      },
      body: JSON.stringify({
        model: modelName(index),
        stream: true,
        max_tokens: 64,
        messages: [{role: 'user', content: 'a question of usual length'}],
      }),
    });
    const text = await answer.body.text();
    if (answer.statusCode !== OK || !text.includes('[DONE]')) {
      throw new Error(`answered ${answer.statusCode} ${text.slice(0, 200)}`);
    }
  }

  /** The length of the answer to a peer's `status`. */
  async statusBytes(): Promise<number> {
    const answer = await request(`${this.url}/trpc/status`, {
      headers: {authorization: `Bearer ${INTERNAL_KEY}`},
    });
    return (await answer.body.text()).length;
  }

  async end(): Promise<void> {
    await Promise.all([this.entry.end(), this.peers.end(), this.log.stop()]);
  }

  private async readings(): Promise<{entry: HostSample; peers: HostSample}> {
    const entry = await this.entry.sample();
    const peers = await this.peers.sample();
    return {entry, peers};
  }

  /** Ready, and heard by each agent once. */
  private async ready(agents: number): Promise<void> {
    await waitUntil('the entry is ready', async () => {
      const answer = await request(`${this.url}/readyz`);
      await answer.body.dump();
      return answer.statusCode === OK;
    });
    await waitUntil('each agent was asked', async () => {
      const {served} = await this.peers.sample();
      return (served['report'] ?? 0) >= agents;
    });
  }
}

function publishOf(models: number): object {
  const nonce = randomUUID();
  const body = configOf(models);
  return {kind: 'publish', baseVersion: 0, nonce, publisher: 'bench', body};
}

function pause(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}
