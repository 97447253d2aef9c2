import type {AdmissionParts, AgentBasis, MemoryParts} from '../agentContext.js';
import {AdmissionQueue} from '../attempts/admissionQueue.js';
import {AttemptRegistry} from '../attempts/attemptRegistry.js';

/** Builds the queue and the registry of attempts. */
export function createAdmissionParts(
  basis: AgentBasis,
  {ledger}: MemoryParts,
): AdmissionParts {
  const {settings, clock} = basis;
  const queue = new AdmissionQueue({
    ...basis,
    memory: ledger.budget,
    maxRunning: settings.maxRunning,
    maxQueued: settings.maxQueued,
  });
  const registry = new AttemptRegistry({
    clock,
    attemptIdMs: settings.retention.attemptIdMs,
    maxRetainedBytes: settings.retention.totalBytes,
  });
  return {queue, registry};
}
