import {createHash} from 'node:crypto';
import type {PublishedConfig} from '@banyanfold/config';
import type {
  PlacementView,
  RoutingRequest,
  RoutingView,
  RunnerView,
} from '@banyanfold/decisions';
import type {Vm, VmList} from '@banyanfold/log';
import type {AgentReport} from '@banyanfold/protocol';
import {ASSUMED, TARGET} from './model/target.js';

const GIB = 1024 ** 3;
const RUNNER_MEMORY_BYTES = 640 * GIB;
const MODEL_BYTES = 80 * GIB;
const PREFIX_HASH_LENGTH = 16;

export function modelName(index: number): string {
  return `model-${String(index).padStart(4, '0')}`;
}

export function artifactName(index: number): string {
  return `${modelName(index)}@1`;
}

/** A configuration of so many models, spread over the assumed groups. */
export function configOf(models: number): PublishedConfig {
  const groups = Math.min(ASSUMED.groups, models);
  const names = Array.from({length: groups}, (_, index) => `group-${index}`);
  return {
    models: Array.from({length: models}, (_, index) => ({
      name: modelName(index),
      version: '1',
      labels: {use: `group-${index % groups}`, tier: 'drafting'},
      weightBytes: MODEL_BYTES,
      kvBytesPerToken: 131_072,
    })),
    adapters: [],
    services: [],
    groups: names.map(name => ({
      name,
      labelSelector: {matchLabels: {use: name}, matchExpressions: []},
    })),
    selectors: names.map((name, index) => ({
      name: `selector-${index}`,
      match: {callers: [], desks: [], names: [], headers: {}},
      group: name,
      priority: 5,
      targets: {
        firstTokenMs: TARGET.firstTokenMs,
        betweenTokensMs: TARGET.betweenTokensMs,
        wholeAnswerMs: 30_000,
      },
      repeatable: true,
    })),
  };
}

/** Parts of a report whose number grows with the use of a runner. */
export interface ReportSizes {
  copies?: number;
  prefixes?: number;
  served?: number;
}

/** The report of one agent, as its load reporter makes it. */
export function reportOf(index: number, sizes: ReportSizes = {}): AgentReport {
  const {
    copies = ASSUMED.copiesPerRunner,
    prefixes = 0,
    served = ASSUMED.servedPerRunner,
  } = sizes;
  return {
    incarnation: 1_000 + index,
    sequence: 100_000 + index,
    running: 7,
    queued: 1,
    kvUsedBytes: 12 * GIB + index,
    kvCapacityBytes: 64 * GIB,
    queueDelayMs: 12.345,
    leaving: false,
    vmId: agentId(index),
    failureDomain: domainOf(index),
    region: regionOf(index),
    runnerRole: 'drafting',
    configVersion: 123_456,
    memoryCapacityBytes: RUNNER_MEMORY_BYTES,
    memoryFreeBytes: RUNNER_MEMORY_BYTES - copies * MODEL_BYTES,
    checksFencing: true,
    copies: Array.from({length: copies}, (_, nth) => ({
      artifact: heldArtifact(index, nth),
      bytes: MODEL_BYTES,
      state: 'held' as const,
      copyId: `${agentId(index)}/${heldArtifact(index, nth)}#1234.${nth}`,
      idleMs: 1_234.567,
    })),
    services: ['lodging'],
    servedCount: Object.fromEntries(
      Array.from({length: served}, (_, nth) => [
        heldArtifact(index, nth),
        1_000 + nth,
      ]),
    ),
    cachedPrefixes: Array.from({length: prefixes}, (_, nth) =>
      prefixHash(index, nth),
    ),
  };
}

export function vmListOf(entries: number, agents: number): VmList {
  const entryVms = Array.from({length: entries}, (_, index) =>
    vmOf('entry', index),
  );
  const agentVms = Array.from({length: agents}, (_, index) =>
    vmOf('agent', index),
  );
  return {asOfMs: 1_790_000_000_000, vms: [...entryVms, ...agentVms]};
}

/** What an entry that knows so many runners routes by. */
export function routingViewOf(runners: number): RoutingView {
  return {
    runners: Array.from({length: runners}, (_, index) => runnerViewOf(index)),
    failureDomain: domainOf(0),
    region: regionOf(0),
  };
}

export function routingRequestOf(model: number): RoutingRequest {
  return {
    artifact: artifactName(model),
    modelArtifact: artifactName(model),
    priority: 5,
    runnerRole: 'drafting',
    prefixHash: prefixHash(0, 0),
    promptTokens: 1_000,
    maxTokens: 256,
    firstTokenBudgetMs: TARGET.firstTokenMs,
    triedVmIds: [],
  };
}

/** What the planner looks at; each model has as many copies as fit. */
export function placementViewOf(runners: number, models: number) {
  const view: PlacementView = {
    runners: Array.from({length: runners}, (_, index) => ({
      ...reportOf(index),
      reachable: true,
      leaving: false,
    })),
    artifacts: Array.from({length: models}, (_, index) => ({
      artifact: artifactName(index),
      modelArtifact: artifactName(index),
      bytes: MODEL_BYTES,
      priority: 5,
      runnerRole: 'drafting',
      demandPerSecond: TARGET.requestsPerSecond / models,
      waiting: 0,
    })),
    loadsInFlight: 0,
    lastLoadMs: 0,
  };
  return view;
}

export function agentId(index: number): string {
  return `agent-${index}`;
}

export function domainOf(index: number): string {
  return `domain-${index % TARGET.failureDomains}`;
}

export function regionOf(index: number): string {
  return `region-${(index % TARGET.failureDomains) % TARGET.regions}`;
}

/** Neighbours hold different models, so that all models have copies. */
function heldArtifact(runner: number, nth: number): string {
  return artifactName((runner * ASSUMED.copiesPerRunner + nth) % TARGET.models);
}

export function prefixHash(runner: number, nth: number): string {
  const hash = createHash('sha256').update(`${runner}/${nth}`);
  return hash.digest('hex').slice(0, PREFIX_HASH_LENGTH);
}

function runnerViewOf(index: number): RunnerView {
  const report = reportOf(index);
  return {
    ...report,
    reachable: true,
    ejectedUntilMs: 0,
    reportReceivedMs: 0,
    ownUnreported: 0,
    artifacts: new Set(report.copies.map(({artifact}) => artifact)),
    cachedPrefixes: new Set(report.cachedPrefixes),
  };
}

function vmOf(role: Vm['role'], index: number): Vm {
  return {
    vmId: `${role}-${index}`,
    role,
    host: `10.${index % 200}.${Math.floor(index / 200)}.17`,
    port: 8_400,
    failureDomain: domainOf(index),
    region: regionOf(index),
    state: 'live',
  };
}
