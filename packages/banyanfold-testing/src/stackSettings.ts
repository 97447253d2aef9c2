import {STACK_KEYS, type StackOptions} from './types.js';

const HOST = '127.0.0.1';
const REGION = 'test';

/** A process's place in the stack. */
export interface NodePlace {
  vmId: string;
  port: number;
  failureDomain: string;
}

/** Where the stand-ins listen, by name. */
export type StandinPorts = Record<string, number>;

export function httpUrl(port: number): string {
  return `http://${HOST}:${port}`;
}

/** The settings of one engine stand-in. */
export function engineSettings(
  options: StackOptions,
  index: number,
  weightStorePort: number,
): Record<string, unknown> {
  return {
    name: engineName(index),
    weightStoreUrl: httpUrl(weightStorePort),
    baseStepMs: 2,
    stepMsPerSequence: 0.1,
    reportLagMs: 50,
    unloadMs: 20,
    ...options.engine,
    ...options.engineByIndex?.[index],
  };
}

export function engineName(index: number): string {
  return `engine-${index + 1}`;
}

/** The settings of the agent beside one engine. */
export function agentSettings(
  options: StackOptions,
  place: NodePlace,
  enginePort: number,
  ports: StandinPorts,
  checksFencing: boolean,
): Record<string, unknown> {
  const {engine, ...overrides} = options.agent ?? {};
  return {
    ...place,
    host: HOST,
    region: REGION,
    internalKey: STACK_KEYS.internal,
    engine: {
      url: httpUrl(enginePort),
      checksFencing,
      orderLateBoundMs: 500,
      ...(engine as object | undefined),
    },
    services: [{name: 'lodging', url: httpUrl(ports['lodging'] ?? 0)}],
    platform: {logUrl: httpUrl(ports['log'] ?? 0)},
    memory: {kvPool: 'separate', inheritedRetireHoldMs: 1000},
    reportIntervalMs: 50,
    ...overrides,
  };
}

/** The settings of one entry. */
export function entrySettings(
  options: StackOptions,
  place: NodePlace,
  ports: StandinPorts,
): Record<string, unknown> {
  const {planner, ...overrides} = options.entry ?? {};
  return {
    ...place,
    host: HOST,
    region: REGION,
    internalKey: STACK_KEYS.internal,
    operatorKey: STACK_KEYS.operator,
    platform: {
      logUrl: httpUrl(ports['log'] ?? 0),
      vmListUrl: httpUrl(ports['vm-list'] ?? 0),
    },
    callers: [
      {name: 'counter', key: STACK_KEYS.caller, desk: 'counter'},
      {name: 'other', key: STACK_KEYS.otherCaller, desk: 'other'},
    ],
    planner: {
      intervalMs: 100,
      loadsPerSecond: 50,
      loadsAtOnce: 8,
      ...(planner as object | undefined),
    },
    vmListIntervalMs: 100,
    reportIntervalMs: 50,
    drainNoticeMs: 100,
    ...overrides,
  };
}
