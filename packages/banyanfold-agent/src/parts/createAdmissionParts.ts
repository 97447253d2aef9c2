import type {
  AdmissionParts,
  AgentDependencies,
  EngineParts,
} from '../agentContext.js';
import {AdmissionQueue} from '../attempts/admissionQueue.js';
import {AttemptRegistry} from '../attempts/attemptRegistry.js';

/** Creates the admission queue and the registry of attempts. */
export function createAdmissionParts(
  dependencies: AgentDependencies,
  {ledger}: EngineParts,
): AdmissionParts {
  const {settings, clock} = dependencies;
  const queue = new AdmissionQueue({
    ...dependencies,
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
