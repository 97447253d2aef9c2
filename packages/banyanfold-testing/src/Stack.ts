import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {
  createAgentClient,
  createEntryClient,
  type AgentClient,
  type AgentReport,
  type EntryClient,
  type EntryStatus,
  type ExplainResult,
  type ProposalResult,
} from '@banyanfold/protocol';
import {request} from 'undici';
import {ManagedProcess} from './ManagedProcess.js';
import {
  agentSettings,
  engineName,
  engineSettings,
  entrySettings,
  httpUrl,
  type StandinPorts,
} from './stackSettings.js';
import {STACK_KEYS, type StackNode, type StackOptions} from './types.js';
import {waitUntil} from './waitUntil.js';

const CLI = resolvePackage('banyanfold-cli/bin/run.js');
const STANDINS = resolvePackage('banyanfold-standins/lib/main.js');
const HOST = '127.0.0.1';
const BALANCER_CHECK_MS = 25;
const HEALTH_TIMEOUT_MS = 1_000;
const DEFAULT_DOMAINS = ['domain-a', 'domain-b'];

type Role = 'entry' | 'agent';

/** A move for `Stack.propose`. */
export interface ProposedMove {
  kind: 'load' | 'retire';
  artifact: string;
  bytes?: number;
  reliesOnCopyIds?: string[];
}

/** Changes nothing, but tells an agent of the planner's epoch. */
const NO_MOVE: ProposedMove = {kind: 'retire', artifact: 'none@0'};

/**
 * The whole path as processes on loopback. Entries and agents are the
 * command line's own daemons; only the platform and the engines are stand-ins.
 *
 * @example
 * const stack = await Stack.start({agents: 2, published});
 * await stack.end();
 */
export class Stack {
  readonly entries: StackNode[] = [];
  readonly agents: StackNode[] = [];
  readonly ports: StandinPorts = {};
  private readonly folder = mkdtempSync(join(tmpdir(), 'banyanfold-'));
  private readonly processes = new Map<string, ManagedProcess>();
  private readonly readyEntries = new Set<string>();
  private proposals = 0;
  private balancer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: StackOptions) {}

  /** Starts everything and publishes; waits for the entries to be ready. */
  static async start(options: StackOptions): Promise<Stack> {
    const stack = new Stack(options);
    try {
      await stack.startStandins();
      await stack.startAgents();
      await stack.startEntries();
      await stack.publish(options.published, 0);
      await stack.ready();
      return stack;
    } catch (error) {
      const states = stack.describe();
      await stack.end();
      throw new Error(`${String(error)}\n${states}`);
    }
  }

  process(name: string): ManagedProcess {
    const found = this.processes.get(name);
    if (!found) throw new Error(`no process is named ${name}`);
    return found;
  }

  entryUrl(index = 0): string {
    return httpUrl(this.entries[index]?.port ?? 0);
  }

  engineUrl(index: number): string {
    return httpUrl(this.ports[engineName(index)] ?? 0);
  }

  /** Waits until every entry is ready. */
  async ready(): Promise<void> {
    for (const [index, node] of this.entries.entries()) {
      await waitUntil(`${node.vmId} is ready`, () =>
        isOk(`${this.entryUrl(index)}/readyz`),
      );
      this.readyEntries.add(node.vmId);
    }
  }

  /** The entries that a balancer would send callers to. */
  readyEntryUrls(): string[] {
    return this.entries
      .filter(({vmId}) => this.readyEntries.has(vmId))
      .map(({port}) => httpUrl(port));
  }

  /** Asks each entry, as a balancer does, whether it is ready; until `end`. */
  startBalancer(): void {
    this.balancer ??= setInterval(() => {
      for (const node of this.entries) void this.checkReady(node);
    }, BALANCER_CHECK_MS);
  }

  /** Ends a process without notice, as when its VM is lost. */
  async kill(name: string): Promise<void> {
    await this.process(name).end('SIGKILL');
  }

  /** Waits until a process that was started again serves. */
  async restart(name: string): Promise<void> {
    const process = this.process(name);
    process.lines.push('restarted');
    process.start();
    const node = this.node(name);
    await waitUntil(`${name} serves`, () =>
      isOk(`${httpUrl(node.port)}/healthz`),
    );
  }

  /** What an agent reports to entries. */
  async agentReport(index: number): Promise<AgentReport> {
    return this.agentClient(index).report.query();
  }

  /**
   * Proposes a move to an agent as a planner would whose epoch is above all.
   * The entry that plans is refused by all agents from then on, and holds still.
   */
  async propose(index: number, move: ProposedMove): Promise<ProposalResult> {
    const others = [...this.agents.keys()].filter(other => other !== index);
    // An agent that was lost takes no moves from any planner.
    await Promise.allSettled(
      others.map(other => this.sendProposal(other, NO_MOVE)),
    );
    return this.sendProposal(index, move);
  }

  private sendProposal(
    index: number,
    move: ProposedMove,
  ): Promise<ProposalResult> {
    const proposalId = `test-${this.proposals++}`;
    const plannerEpoch = Number.MAX_SAFE_INTEGER;
    const viewedAtMs = Date.now();
    const proposal = {proposalId, plannerEpoch, viewedAtMs, ...move};
    return this.agentClient(index).propose.mutate(proposal);
  }

  /** The last log lines of every process, for a test that failed. */
  describe(): string {
    return [...this.processes.values()].map(p => p.describe()).join('\n');
  }

  /** How an entry would route a request for a model, and why. */
  async explain(index: number, requestedName: string): Promise<ExplainResult> {
    return this.entryClient(index).explain.query({
      caller: 'counter',
      desk: 'counter',
      requestedName,
    });
  }

  async status(index = 0): Promise<EntryStatus> {
    return this.entryClient(index).status.query();
  }

  /** Appends a publish record as an operator would. */
  async publish(body: unknown, baseVersion: number): Promise<number> {
    const nonce = `publish-${baseVersion}-${Math.random()}`;
    const record = {
      kind: 'publish',
      baseVersion,
      nonce,
      publisher: 'test',
      body,
    };
    const answer = await sendJson(
      'POST',
      `${httpUrl(this.ports['log'] ?? 0)}/streams/config/records`,
      {records: [record]},
    );
    return (answer as {lastOffset: number}).lastOffset;
  }

  /** The oldest record that the log still keeps of a stream. */
  async firstOffset(stream: string): Promise<number> {
    const url = `${this.standinUrl('log')}/streams/${stream}/records?limit=1`;
    const page = (await sendJson('GET', url)) as {firstOffset: number};
    return page.firstOffset;
  }

  /** Sets faults of a stand-in: `log`, `vm-list`, `engine-1`, `lodging`, … */
  async setFaults(standin: string, faults: object): Promise<void> {
    await sendJson('PUT', `${this.standinUrl(standin)}/control/faults`, faults);
  }

  /** What a stand-in really did. */
  async truth(standin: string): Promise<Array<Record<string, unknown>>> {
    const url = `${this.standinUrl(standin)}/control/truth`;
    return (await sendJson('GET', url)) as Array<Record<string, unknown>>;
  }

  /** Replaces the platform's VM list. */
  async setVmList(
    leaving: readonly string[] = [],
    gone: readonly string[] = [],
  ): Promise<void> {
    const vms = [
      ...this.entries.map(node => listedVm(node, 'entry', leaving)),
      ...this.agents.map(node => listedVm(node, 'agent', leaving)),
    ].filter(({vmId}) => !gone.includes(vmId));
    const url = `${this.standinUrl('vm-list')}/control/vms`;
    await sendJson('PUT', url, {vms});
  }

  /** Ends every process of the stack and removes its settings. */
  async end(): Promise<void> {
    clearInterval(this.balancer);
    await Promise.all([...this.processes.values()].map(p => p.end()));
    rmSync(this.folder, {recursive: true, force: true});
  }

  private entryClient(index: number): EntryClient {
    return createEntryClient({
      host: HOST,
      port: this.entries[index]?.port ?? 0,
      internalKey: STACK_KEYS.operator,
    });
  }

  private agentClient(index: number): AgentClient {
    return createAgentClient({
      host: HOST,
      port: this.agents[index]?.port ?? 0,
      internalKey: STACK_KEYS.internal,
    });
  }

  private async checkReady(node: StackNode): Promise<void> {
    if (await isOk(`${httpUrl(node.port)}/readyz`)) {
      this.readyEntries.add(node.vmId);
    } else {
      this.readyEntries.delete(node.vmId);
    }
  }

  private standinUrl(name: string): string {
    const port = this.ports[name];
    if (port === undefined) throw new Error(`no stand-in is named ${name}`);
    return httpUrl(port);
  }

  private node(name: string): StackNode {
    const nodes = [...this.entries, ...this.agents];
    const found = nodes.find(node => node.vmId === name);
    if (!found) throw new Error(`no node is named ${name}`);
    return found;
  }

  private async startStandins(): Promise<void> {
    const {log = {}, weightStore, agents = 2} = this.options;
    await this.startStandinProcess('platform', {
      log,
      weightStore: {
        loadsPerSecond: 50,
        loadsAtOnce: 8,
        baseLoadMs: 20,
        bytesPerSecond: 1e12,
        ...weightStore,
      },
      vmList: {},
      services: [{name: 'lodging'}],
    });
    const storePort = this.ports['weight-store'] ?? 0;
    const engines = Array.from({length: agents}, (_, index) =>
      engineSettings(this.options, index, storePort),
    );
    if (!this.options.separateEngines) {
      await this.startStandinProcess('engines', {engines});
      return;
    }
    for (const [index, engine] of engines.entries()) {
      await this.startStandinProcess(`${engineName(index)}`, {
        engines: [engine],
      });
    }
  }

  private async startStandinProcess(
    name: string,
    settings: object,
  ): Promise<void> {
    const path = this.writeSettings(name, settings);
    const process = new ManagedProcess(name, () => [STANDINS, path]);
    this.processes.set(name, process);
    process.start();
    const wanted = countStandins(settings);
    const started = () =>
      process.lines.filter(line => line.includes('event=standin-started'));
    await waitUntil(`stand-ins of ${name}`, () => started().length >= wanted);
    for (const line of started()) {
      const [, standin] = /standin=(\S+)/.exec(line) ?? [];
      const [, port] = /port=(\d+)/.exec(line) ?? [];
      if (standin) this.ports[standin] = Number(port);
    }
  }

  private async startAgents(): Promise<void> {
    const count = this.options.agents ?? 2;
    for (let index = 0; index < count; index++) {
      const vmId = `agent-${index + 1}`;
      const enginePort = this.ports[engineName(index)] ?? 0;
      const checksFencing = this.checksFencing(index);
      const node = this.newNode(vmId, index);
      this.agents.push(node);
      this.addDaemon('agent', node, () =>
        agentSettings(
          this.options,
          node,
          enginePort,
          this.ports,
          checksFencing,
        ),
      );
    }
    await Promise.all(this.agents.map(node => this.startDaemon(node)));
  }

  private async startEntries(): Promise<void> {
    const count = this.options.entries ?? 1;
    for (let index = 0; index < count; index++) {
      const node = this.newNode(`entry-${index + 1}`, index);
      this.entries.push(node);
      this.addDaemon('entry', node, () =>
        entrySettings(this.options, node, this.ports),
      );
    }
    await Promise.all(this.entries.map(node => this.startDaemon(node)));
    await this.setVmList();
  }

  private checksFencing(index: number): boolean {
    const engine = {
      ...this.options.engine,
      ...this.options.engineByIndex?.[index],
    };
    return engine['checksFencing'] !== false;
  }

  private newNode(vmId: string, index: number): StackNode {
    const domains = this.options.failureDomains ?? DEFAULT_DOMAINS;
    const failureDomain = domains[index % domains.length] ?? '';
    return {vmId, port: 0, failureDomain};
  }

  private addDaemon(role: Role, node: StackNode, settings: () => object): void {
    const args = () => {
      const path = this.writeSettings(node.vmId, settings());
      return [CLI, role, '--settings', path];
    };
    this.processes.set(node.vmId, new ManagedProcess(node.vmId, args));
  }

  /** The free port taken at the first start is kept for later ones. */
  private async startDaemon(node: StackNode): Promise<void> {
    const process = this.process(node.vmId);
    process.start();
    node.port = Number((await process.lineWith('listening'))['port']);
  }

  private writeSettings(name: string, settings: object): string {
    const path = join(this.folder, `${name}.jsonc`);
    writeFileSync(path, JSON.stringify(settings));
    return path;
  }
}

function resolvePackage(path: string): string {
  return fileURLToPath(new URL(`../../${path}`, import.meta.url));
}

function countStandins(settings: object): number {
  const {
    engines = [],
    services = [],
    ...single
  } = settings as {
    engines?: unknown[];
    services?: unknown[];
  };
  return engines.length + services.length + Object.keys(single).length;
}

function listedVm(node: StackNode, role: Role, leaving: readonly string[]) {
  return {
    ...node,
    role,
    host: HOST,
    region: 'test',
    state: leaving.includes(node.vmId) ? 'leaving' : 'live',
  };
}

async function isOk(url: string): Promise<boolean> {
  try {
    const {statusCode, body} = await request(url, {
      headersTimeout: HEALTH_TIMEOUT_MS,
    });
    await body.dump();
    return statusCode === 200;
  } catch {
    return false;
  }
}

async function sendJson(
  method: 'GET' | 'POST' | 'PUT',
  url: string,
  body?: object,
): Promise<unknown> {
  const answer = await request(url, {
    method,
    headers: {'content-type': 'application/json'},
    body: body ? JSON.stringify(body) : undefined,
  });
  const text = await answer.body.text();
  if (answer.statusCode >= 300) {
    throw new Error(`${method} ${url}: ${answer.statusCode} ${text}`);
  }
  return text ? (JSON.parse(text) as unknown) : undefined;
}
