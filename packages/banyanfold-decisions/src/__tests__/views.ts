import type {
  AdmissionView,
  PlacementArtifact,
  PlacementCopy,
  PlacementRunner,
  PlacementView,
  QueuedRequest,
  RoutingRequest,
  RunnerView,
} from '../types.js';

/** An idle runner that holds `m@1`. */
export function runnerView(overrides: Partial<RunnerView> = {}): RunnerView {
  return {
    vmId: 'a',
    failureDomain: 'd0',
    region: 'r',
    runnerRole: 'desk',
    reachable: true,
    leaving: false,
    ejectedUntilMs: 0,
    reportReceivedMs: 0,
    running: 0,
    queued: 0,
    queueDelayMs: 0,
    kvUsedBytes: 0,
    kvCapacityBytes: 1_000,
    ownUnreported: 0,
    artifacts: new Set(['m@1']),
    cachedPrefixes: new Set(),
    ...overrides,
  };
}

export function routingRequest(
  overrides: Partial<RoutingRequest> = {},
): RoutingRequest {
  return {
    artifact: 'm@1',
    modelArtifact: 'm@1',
    priority: 0,
    runnerRole: 'desk',
    prefixHash: 'p',
    promptTokens: 1_000,
    maxTokens: 100,
    firstTokenBudgetMs: 310,
    triedVmIds: [],
    ...overrides,
  };
}

export function queuedRequest(
  overrides: Partial<QueuedRequest> = {},
): QueuedRequest {
  return {
    attemptId: 'q',
    priority: 0,
    enqueuedMs: 0,
    deadlineMs: 310,
    kvBytes: 1,
    ...overrides,
  };
}

export function admissionView(
  overrides: Partial<AdmissionView> = {},
): AdmissionView {
  return {
    running: 0,
    maxRunning: 4,
    queue: [],
    maxQueued: 2,
    kvFreeBytes: 100,
    serviceTimeMs: 400,
    firstTokenMs: 30,
    ...overrides,
  };
}

export function copyOf(
  artifact: string,
  vmId: string,
  overrides: Partial<PlacementCopy> = {},
): PlacementCopy {
  return {
    artifact,
    bytes: artifact.includes('+') ? 1 : 20,
    copyId: `${artifact}/${vmId}`,
    state: 'held',
    idleMs: 60_000,
    ...overrides,
  };
}

const CAPACITY_BYTES = 64;

/** A runner whose free memory is what its copies leave. */
export function placementRunner(
  vmId: string,
  artifacts: string[],
  overrides: Partial<PlacementRunner> = {},
): PlacementRunner {
  const copies = artifacts.map(artifact => copyOf(artifact, vmId));
  const usedBytes = copies.reduce((sum, {bytes}) => sum + bytes, 0);
  return {
    vmId,
    failureDomain: `d-${vmId}`,
    runnerRole: 'desk',
    reachable: true,
    leaving: false,
    memoryCapacityBytes: CAPACITY_BYTES,
    memoryFreeBytes: CAPACITY_BYTES - usedBytes,
    running: 0,
    queued: 0,
    copies,
    ...overrides,
  };
}

export function placementArtifact(
  artifact: string,
  overrides: Partial<PlacementArtifact> = {},
): PlacementArtifact {
  return {
    artifact,
    modelArtifact: artifact.split('+')[0]!,
    bytes: artifact.includes('+') ? 1 : 20,
    priority: 0,
    runnerRole: 'desk',
    demandPerSecond: 0,
    waiting: 0,
    ...overrides,
  };
}

export function placementView(
  runners: PlacementRunner[],
  artifacts: PlacementArtifact[],
): PlacementView {
  return {runners, artifacts, loadsInFlight: 0, lastLoadMs: -60_000};
}
