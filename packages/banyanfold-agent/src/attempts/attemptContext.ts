import type {Clock, Logger, Metrics} from '@banyanfold/core';
import type {EngineClient} from '../engine/engineClient.js';
import type {MemoryLedger} from '../memory/memoryLedger.js';
import type {AgentSettings} from '../settings.js';
import type {AdmissionQueue} from './admissionQueue.js';
import type {AttemptRegistry} from './attemptRegistry.js';
import type {EngineCanceller} from './engineCanceller.js';

/** What the parts of the data path share. */
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
  /** Compact JSON of the load digest, for the piggyback header. */
  loadHeader(): string;
  /** What the configuration says of a model, if it is known. */
  kvBytesPerToken(artifact: string): number | undefined;
  /** A request with this prefix has been through the engine. */
  recordPrefix(prefixHash: string): void;
  recordServed(artifact: string): void;
}
