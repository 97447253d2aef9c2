import {Stack, type StackOptions} from '@banyanfold/testing';
import {processTimeMs, residentBytes} from '../../common/processTime.js';
import {artifactName, configOf} from '../fixtures.js';
import {ASSUMED, INTERVALS} from '../model/target.js';
import {measureConfigDelays, type ConfigDelays} from './configDelays.js';
import {SocketMeter} from './socketCounters.js';

const GIB = 1024 ** 3;
const SETTLE_MS = 15_000;
const WINDOW_MS = 15_000;
const READING_MS = 1_000;
const MODELS = 60;
const HEAD_BYTES_PER_SEGMENT = 52;

/** How many processes of each role a run has. */
export interface RunSize {
  entries: number;
  agents: number;
}

/** What one process spent on control, without any caller. */
export interface ProcessCost {
  vmId: string;
  role: 'entry' | 'agent';
  isPlanner: boolean;
  cpuUsPerSecond: number;
  /** HTTP and its framing, both ways; undefined without `ss`. */
  bytesPerSecond: number | undefined;
  /** The same with the heads of TCP and IP. */
  packetBytesPerSecond: number | undefined;
  rssBytes: number;
}

export interface ProcessRun {
  size: RunSize;
  models: number;
  costs: ProcessCost[];
  delays: ConfigDelays;
}

/** Runs the whole path as processes, and reads what each spends at rest. */
export async function runProcesses(size: RunSize): Promise<ProcessRun> {
  const published = publishedConfig();
  const stack = await Stack.start(stackOptions(size, published));
  try {
    await pause(SETTLE_MS);
    const costs = await measureCosts(stack);
    const delays = await measureConfigDelays(stack, published);
    return {size, models: MODELS, costs, delays};
  } finally {
    await stack.end();
  }
}

function publishedConfig() {
  const config = configOf(MODELS);
  const models = config.models.map(model => ({...model, weightBytes: GIB}));
  return {...config, models};
}

function stackOptions(size: RunSize, published: unknown): StackOptions {
  const modelsOf = (engine: number) =>
    Array.from({length: ASSUMED.copiesPerRunner}, (_, nth) => ({
      artifact: artifactName((engine * ASSUMED.copiesPerRunner + nth) % MODELS),
      bytes: GIB,
    }));
  return {
    ...size,
    published,
    entry: {
      reportIntervalMs: INTERVALS.reportMs,
      vmListIntervalMs: INTERVALS.vmListMs,
      planner: {intervalMs: INTERVALS.plannerMs},
    },
    agent: {reportIntervalMs: INTERVALS.engineReportMs},
    engineByIndex: Array.from({length: size.agents}, (_, index) => ({
      models: modelsOf(index),
    })),
  };
}

async function measureCosts(stack: Stack): Promise<ProcessCost[]> {
  const nodes = [
    ...stack.entries.map(({vmId}) => ({vmId, role: 'entry' as const})),
    ...stack.agents.map(({vmId}) => ({vmId, role: 'agent' as const})),
  ].map(node => ({...node, pid: stack.process(node.vmId).pid}));
  const meter = new SocketMeter();
  meter.read();
  const before = new Map(nodes.map(({pid}) => [pid, processTimeMs(pid)]));
  const startedMs = performance.now();
  while (performance.now() - startedMs < WINDOW_MS) {
    await pause(READING_MS);
    meter.read();
  }
  const seconds = (performance.now() - startedMs) / 1_000;
  const enginePorts = new Set(
    Object.entries(stack.ports)
      .filter(([name]) => name.startsWith('engine-'))
      .map(([, port]) => port),
  );
  const planner = await plannerOf(stack);
  return nodes.map(({vmId, role, pid}) => {
    // An agent's engine is on its own VM: that is no traffic of the network.
    const {bytes, segments} = meter.sumOf(
      pid,
      ({peerPort}) => !enginePorts.has(peerPort),
    );
    const perSecond = (value: number) =>
      meter.available ? value / seconds : undefined;
    const cpuMs = processTimeMs(pid) - (before.get(pid) ?? 0);
    return {
      vmId,
      role,
      isPlanner: vmId === planner,
      cpuUsPerSecond: (cpuMs * 1_000) / seconds,
      bytesPerSecond: perSecond(bytes),
      packetBytesPerSecond: perSecond(
        bytes + segments * HEAD_BYTES_PER_SEGMENT,
      ),
      rssBytes: residentBytes(pid),
    };
  });
}

async function plannerOf(stack: Stack): Promise<string> {
  for (const [index, {vmId}] of stack.entries.entries()) {
    if ((await stack.status(index)).plannerEpoch > 0) return vmId;
  }
  return '';
}

function pause(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}
