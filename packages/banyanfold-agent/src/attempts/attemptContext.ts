import type {Clock, Logger, Metrics} from '@banyanfold/core';
import type {EngineClient} from '../engine/engineClient.js';
import type {MemoryLedger} from '../memory/memoryLedger.js';
import type {AgentSettings} from '../settings.js';
import type {AdmissionQueue} from './admissionQueue.js';
import type {AttemptRegistry} from './attemptRegistry.js';
import type {EngineCanceller} from './engineCanceller.js';

/** Components and functions that the request path shares. */
export interface AttemptContext {
  settings: AgentSettings;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  engine: EngineClient;
  ledger: MemoryLedger;
  queue: AdmissionQueue;
  registry: AttemptRegistry;
  canceller: EngineCanceller;
  isOwnIncarnation(incarnation: number): boolean;
  isLeaving(): boolean;
  /** Load digest as compact JSON, sent in a header of each response. */
  loadHeader(): string;
  /** The configured KV cache size per token, if the artifact is configured. */
  kvBytesPerToken(artifact: string): number | undefined;
  /** Records that the engine has processed a request with this prefix. */
  recordPrefix(prefixHash: string): void;
  recordServed(artifact: string): void;
}
