import {ConfigFollower, Retirements} from '@banyanfold/log';
import type {
  AdmissionParts,
  AgentDependencies,
  ControlParts,
  LeavingFlag,
  EngineParts,
} from '../agentContext.js';
import {isUnpublished} from '../control/configView.js';
import {EngineMonitor} from '../control/engineMonitor.js';
import {LoadReporter} from '../control/loadReporter.js';
import {PrefixTracker} from '../control/prefixTracker.js';
import {ProposalHandler} from '../control/proposalHandler.js';
import {RunnerRoleState} from '../control/runnerRoleState.js';

/**
 * Creates the parts that follow the engine and the log, report load, and handle
 * the proposals of planners.
 */
export function createControlParts(
  dependencies: AgentDependencies & LeavingFlag & EngineParts & AdmissionParts,
): ControlParts {
  const {settings, fence, queue, isLeaving} = dependencies;
  const prefixes = new PrefixTracker(settings.maxCachedPrefixes);
  const role = new RunnerRoleState(settings.runnerRole);
  const {config, retirements} = createFollowers(dependencies);
  const reporter = new LoadReporter({
    ...dependencies,
    prefixes,
    incarnation: () => fence.incarnation,
    configVersion: () => config.version,
    runnerRole: () => role.current,
  });
  const engineMonitor = new EngineMonitor({
    ...dependencies,
    intervalMs: settings.reportIntervalMs,
    runnerRole: () => role.current,
    onReport: report => {
      role.observe(report);
      queue.dispatchWaiting();
    },
  });
  const proposals = new ProposalHandler({
    ...dependencies,
    retirements,
    inheritedRetireHoldMs: settings.memory.inheritedRetireHoldMs,
    isUnpublished: async artifact => {
      const result = await config.readNow();
      return result.isOk() && isUnpublished(config.state, artifact);
    },
    hasFence: () => fence.current() !== undefined,
    isLeaving,
    setRunnerRole: (name, setAtMs) => role.set(name, setAtMs),
  });
  return {
    prefixes,
    role,
    config,
    retirements,
    reporter,
    engineMonitor,
    proposals,
  };
}

function createFollowers(
  dependencies: AgentDependencies,
): Pick<ControlParts, 'config' | 'retirements'> {
  const {settings} = dependencies;
  const {vmId} = settings;
  const config = new ConfigFollower({
    ...dependencies,
    vmId,
    // Entries write the checkpoints; for an agent none is ever due.
    liveVmIds: () => [],
    retentionMs: Number.MAX_SAFE_INTEGER,
  });
  const retirements = new Retirements({
    ...dependencies,
    vmId,
    retentionMs: settings.platform.logRetentionMs,
  });
  return {config, retirements};
}
