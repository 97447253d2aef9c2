import {mkdirSync, writeFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {
  ManagedProcess,
  STACK_KEYS,
  Stack,
  waitUntil,
} from '@banyanfold/testing';
import {Agent} from 'undici';
import {
  measureLatency,
  type ComparedPath,
  type PathLatency,
} from './measureLatency.js';
import {measureThroughput, type Throughput} from './measureThroughput.js';
import {timedStream, type StreamTarget} from './timedStream.js';

const ROUNDS = 600;
const QUICK_ROUNDS = 100;
const WARM_UP_ROUNDS = 100;
const LATENCY_TOKENS = 12;
const THROUGHPUT_MS = 8000;
const QUICK_THROUGHPUT_MS = 3000;
const CONCURRENCY = 16;
/** Two lengths of answer give the cost of a request and of a token. */
const TOKEN_COUNTS = [4, 64] as const;
const PROMPT = 'May a tenant with two dependants claim the council discount?';
const BARE_HOP = fileURLToPath(new URL('./bareHop.js', import.meta.url));
const RESULT = new URL('../../results/path.json', import.meta.url);

const PUBLISHED = {
  models: [
    {name: 'bench', version: '1', labels: {a: 'b'}, weightBytes: 1_000_000},
  ],
  groups: [{name: 'all', labelSelector: {matchLabels: {a: 'b'}}}],
  selectors: [{name: 'all', group: 'all', targets: {firstTokenMs: 10_000}}],
};

/** What the bench writes. */
interface PathResult {
  latency: Record<ComparedPath, PathLatency>;
  throughput: Array<Throughput & {tokens: number}>;
  agentMicrosPerToken: number;
  entryMicrosPerToken: number;
}

/**
 * Time that entry and agent add, against the same client at the engine, and
 * against two hops that only pass on.
 */
export async function run(args: string[]): Promise<void> {
  const isQuick = args.includes('--quick');
  const stack = await Stack.start({
    entries: 1,
    agents: 1,
    separateEngines: true,
    engine: {baseStepMs: 5, stepMsPerSequence: 0, maxRunning: 64},
    agent: {maxRunning: 64, reportIntervalMs: 250},
    entry: {reportIntervalMs: 500},
    published: PUBLISHED,
  });
  const hops = new BareHops();
  try {
    const hopsUrl = await hops.start(stack.engineUrl(0));
    const result = await measure(stack, hopsUrl, isQuick);
    print(result);
    mkdirSync(new URL('.', RESULT), {recursive: true});
    writeFileSync(RESULT, `${JSON.stringify(result, undefined, 2)}\n`);
    console.log(`written to ${fileURLToPath(RESULT).split('/bench/')[1]}`);
  } finally {
    await hops.end();
    await stack.end();
  }
}

/** As many hops as entry and agent are, each a process of its own. */
class BareHops {
  private readonly processes: ManagedProcess[] = [];

  async start(engineUrl: string): Promise<string> {
    const inner = await this.startHop('bare-hop-2', engineUrl);
    return this.startHop('bare-hop-1', inner);
  }

  async end(): Promise<void> {
    await Promise.all(this.processes.map(hop => hop.end()));
  }

  private async startHop(name: string, target: string): Promise<string> {
    const hop = new ManagedProcess(name, () => [BARE_HOP, target]);
    this.processes.push(hop);
    hop.start();
    const {port} = await hop.lineWith('listening');
    return `http://127.0.0.1:${port}`;
  }
}

async function measure(
  stack: Stack,
  hopsUrl: string,
  isQuick: boolean,
): Promise<PathResult> {
  const common = {
    key: STACK_KEYS.caller,
    maxTokens: LATENCY_TOKENS,
    prompt: PROMPT,
    dispatcher: new Agent({pipelining: 1}),
  };
  const direct = {...common, url: stack.engineUrl(0), model: 'bench@1'};
  const through = {...common, url: stack.entryUrl(), model: 'bench'};
  const targets = {direct, bareHops: {...direct, url: hopsUrl}, through};
  await waitUntil('the model answers', async () => {
    return (await timedStream(through)).complete;
  });
  await measureLatency(targets, WARM_UP_ROUNDS);
  const rounds = isQuick ? QUICK_ROUNDS : ROUNDS;
  const latency = await measureLatency(targets, rounds);
  const throughput = [];
  for (const tokens of TOKEN_COUNTS) {
    const target: StreamTarget = {...through, maxTokens: tokens};
    const options = {
      concurrency: CONCURRENCY,
      durationMs: isQuick ? QUICK_THROUGHPUT_MS : THROUGHPUT_MS,
      entryPid: stack.process('entry-1').pid,
      agentPid: stack.process('agent-1').pid,
    };
    throughput.push({tokens, ...(await measureThroughput(target, options))});
  }
  return {latency, throughput, ...tokenCost(throughput)};
}

function tokenCost(rows: Array<Throughput & {tokens: number}>) {
  const [few, many] = rows;
  if (!few || !many) return {agentMicrosPerToken: 0, entryMicrosPerToken: 0};
  const tokens = many.tokens - few.tokens;
  const perToken = (a: number, b: number) => ((b - a) / tokens) * 1000;
  return {
    agentMicrosPerToken: perToken(
      few.agentMsPerRequest,
      many.agentMsPerRequest,
    ),
    entryMicrosPerToken: perToken(
      few.entryMsPerRequest,
      many.entryMsPerRequest,
    ),
  };
}

function print({latency, throughput, ...tokens}: PathResult): void {
  const {direct, bareHops, through} = latency;
  const columns = ['direct', 'bare hops', 'through', 'added', 'over bare'];
  console.log(
    'ms'.padEnd(20) + columns.map(name => name.padStart(10)).join(''),
  );
  const row = (name: string, field: keyof PathLatency) => {
    const added = through[field] - direct[field];
    const overBare = through[field] - bareHops[field];
    const cells = [
      direct[field],
      bareHops[field],
      through[field],
      added,
      overBare,
    ].map(ms => ms.toFixed(3).padStart(10));
    console.log(name.padEnd(20) + cells.join(''));
  };
  row('first token p50', 'firstTokenP50Ms');
  row('first token p99', 'firstTokenP99Ms');
  row('between tokens p50', 'gapP50Ms');
  row('between tokens p99', 'gapP99Ms');
  for (const line of throughput) {
    console.log(
      `${line.tokens} tokens: ${line.requestsPerSecond.toFixed(0)} requests/s, ` +
        `${line.requestsPerSecondPerCore.toFixed(0)} requests/s a core, ` +
        `entry ${line.entryMsPerRequest.toFixed(3)} ms, ` +
        `agent ${line.agentMsPerRequest.toFixed(3)} ms a request, ` +
        `${line.incomplete} of ${line.requests} incomplete`,
    );
  }
  console.log(
    `a token: entry ${tokens.entryMicrosPerToken.toFixed(1)} µs, ` +
      `agent ${tokens.agentMicrosPerToken.toFixed(1)} µs`,
  );
}
