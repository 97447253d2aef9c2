import type {ReportSizes} from '../fixtures.js';

/** What a host process is told by the bench, with a number to answer by. */
export type HostRequest =
  | {kind: 'start-peers'; options: PeerOptions}
  | {kind: 'start-entry'; options: EntryHostOptions}
  | {kind: 'start-agent'; options: AgentHostOptions}
  | {kind: 'sample'; collect: boolean};

/** Agents that answer as real ones, with nothing behind them. */
export interface PeerOptions {
  agents: number;
  internalKey: string;
  report: ReportSizes;
  /** Events of each stream, and the time between two. */
  tokens: number;
  tokenIntervalMs: number;
  /** Listed besides, without a process. */
  otherVms: number;
}

export interface EntryHostOptions {
  vmListPort: number;
  logPort: number;
  internalKey: string;
  callerKey: string;
  reportIntervalMs: number;
  vmListIntervalMs: number;
}

export interface AgentHostOptions {
  internalKey: string;
  enginePort: number;
  logPort: number;
  reportIntervalMs: number;
}

/** The cost of a host so far. */
export interface HostSample {
  cpuUs: number;
  rssBytes: number;
  heapBytes: number;
  /** Requests served, by their kind. */
  served: Record<string, number>;
}

export interface HostAnswer {
  port: number;
  sample?: HostSample;
}
