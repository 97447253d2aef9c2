import {EntryRig, type RigOptions, type RigWindow} from '../hosts/entryRig.js';
import type {Point} from '../model/fit.js';
import {toSlope, type Slope} from '../model/slope.js';
import {TARGET} from '../model/target.js';

const RUNNER_COUNTS = [10, 50, 100, 200, 400, 800];
const VIEW_SIZES = [20, 100, 500, 1_000, 2_000];
const VM_COUNTS = [100, 500, 1_000, 2_000, 2_730];
const TOKEN_COUNTS = [16, 64, 256, 512];
const OPEN_COUNTS = [50, 100, 200, 400];
const SETTLE_MS = 6_000;
const WINDOW_MS = 6_000;
const REPORT_INTERVAL_MS = 2_000;
const SLOW_INTERVAL_MS = 30_000;
const VM_LIST_INTERVAL_MS = 200;
const TOKEN_WORKERS = 40;
/** Longer than the rig lives. */
const OPEN_TOKENS = 1_000;
const SLOW_TOKEN_MS = 500;
const ROUTE_WORKERS = 4;
const STATUS_CALLS = 10;

/** What a real entry spends, in a process of its own. */
export async function entrySlopes(): Promise<Slope[]> {
  return [
    ...(await reportSlopes('lean', 0)),
    ...(await reportSlopes('full', 256)),
    await vmListSlope(),
    await requestSlope(),
    await tokenSlope(),
    await openRequestSlope(),
  ];
}

/** Reports a second against processor time; runners against memory. */
async function reportSlopes(kind: string, prefixes: number): Promise<Slope[]> {
  const cpu: Point[] = [];
  const peersCpu: Point[] = [];
  const rss: Point[] = [];
  const heap: Point[] = [];
  const status: Point[] = [];
  const statusCpu: Point[] = [];
  for (const agents of RUNNER_COUNTS) {
    const report = {prefixes};
    const options = {agents, report, reportIntervalMs: REPORT_INTERVAL_MS};
    await withRig(options, async rig => {
      await rig.during(SETTLE_MS);
      const window = await rig.during(WINDOW_MS);
      const x = (window.served['report'] ?? 0) / window.seconds;
      cpu.push({x, y: window.entryCpuUs / window.seconds});
      peersCpu.push({x, y: window.peersCpuUs / window.seconds});
      const asked = await rig.during(async () => {
        for (let n = 0; n < STATUS_CALLS; n++) await rig.statusBytes();
      });
      const idleUs = (window.entryCpuUs / window.seconds) * asked.seconds;
      status.push({x: agents, y: await rig.statusBytes()});
      const statusUs = Math.max(0, asked.entryCpuUs - idleUs) / STATUS_CALLS;
      statusCpu.push({x: agents, y: statusUs});
      // A collection gives memory back that a daemon at rest would keep.
      const {rssBytes} = await rig.entry.sample();
      const {heapBytes} = await rig.entry.sample(true);
      rss.push({x: agents, y: rssBytes});
      heap.push({x: agents, y: heapBytes});
    });
  }
  const per = 'report a second';
  return [
    toSlope(`entry cpu, ${kind} reports`, 'us/s', per, cpu),
    toSlope(`report server cpu, ${kind} reports`, 'us/s', per, peersCpu),
    toSlope(`entry rss, ${kind} reports`, 'bytes', 'runner', rss),
    toSlope(`entry heap, ${kind} reports`, 'heap bytes', 'runner', heap),
    toSlope(`entry status bytes, ${kind}`, 'bytes', 'runner known', status),
    toSlope(`entry status cpu, ${kind}`, 'us', 'runner known', statusCpu),
  ];
}

/** Agents are listed without a process, so that only the list costs. */
async function vmListSlope(): Promise<Slope> {
  const points: Point[] = [];
  for (const vms of VM_COUNTS) {
    const options = {
      agents: 1,
      otherVms: vms - 1,
      reportIntervalMs: SLOW_INTERVAL_MS,
      vmListIntervalMs: VM_LIST_INTERVAL_MS,
    };
    await withRig(options, async rig => {
      await rig.during(SETTLE_MS);
      const window = await rig.during(WINDOW_MS);
      points.push({x: vms, y: perServed(window, 'vm-list')});
    });
  }
  return toSlope('VM list read cpu', 'us', 'VM listed', points);
}

/** The whole of a short streamed request, at an entry with more runners. */
async function requestSlope(): Promise<Slope> {
  const points: Point[] = [];
  for (const agents of VIEW_SIZES) {
    const options = {agents, reportIntervalMs: SLOW_INTERVAL_MS};
    await withRig(options, async rig => {
      const models = Math.min(agents, TARGET.models);
      await callFor(rig, ROUTE_WORKERS, models, SETTLE_MS);
      const window = await rig.during(() =>
        callFor(rig, ROUTE_WORKERS, models, WINDOW_MS),
      );
      points.push({x: agents, y: perServed(window, 'attempt')});
    });
  }
  return toSlope('request cpu at the entry', 'us', 'runner known', points);
}

/** Longer streams, each token in a chunk of its own. */
async function tokenSlope(): Promise<Slope> {
  const points: Point[] = [];
  for (const tokens of TOKEN_COUNTS) {
    const options = {
      agents: 20,
      tokens,
      tokenIntervalMs: 5,
      reportIntervalMs: SLOW_INTERVAL_MS,
    };
    await withRig(options, async rig => {
      await callFor(rig, TOKEN_WORKERS, 20, SETTLE_MS);
      const window = await rig.during(() =>
        callFor(rig, TOKEN_WORKERS, 20, WINDOW_MS),
      );
      points.push({x: tokens, y: perServed(window, 'attempt')});
    });
  }
  return toSlope('stream cpu at the entry', 'us', 'token relayed', points);
}

/** Streams that stay open: what each holds in memory. */
async function openRequestSlope(): Promise<Slope> {
  const points: Point[] = [];
  for (const open of OPEN_COUNTS) {
    const options = {
      agents: 20,
      tokens: OPEN_TOKENS,
      tokenIntervalMs: SLOW_TOKEN_MS,
      reportIntervalMs: SLOW_INTERVAL_MS,
    };
    await withRig(options, async rig => {
      await callFor(rig, ROUTE_WORKERS, 20, 0);
      const calls = Array.from({length: open}, (_, index) =>
        rig.callModel(index % 20).catch(() => {}),
      );
      await rig.during(SETTLE_MS);
      const {heapBytes} = await rig.entry.sample(true);
      points.push({x: open, y: heapBytes});
      void calls;
    });
  }
  return toSlope('open request', 'heap bytes', 'request', points);
}

async function callFor(
  rig: EntryRig,
  workers: number,
  models: number,
  durationMs: number,
): Promise<void> {
  const endMs = performance.now() + durationMs;
  let call = 0;
  const worker = async () => {
    while (performance.now() < endMs) await rig.callModel(call++ % models);
  };
  await Promise.all(Array.from({length: workers}, worker));
}

function perServed(window: RigWindow, kind: string): number {
  return window.entryCpuUs / Math.max(1, window.served[kind] ?? 0);
}

async function withRig(
  options: RigOptions,
  work: (rig: EntryRig) => Promise<void>,
): Promise<void> {
  const rig = await EntryRig.start(options);
  try {
    await work(rig);
  } finally {
    await rig.end();
  }
}
