import {ConfigFollower, Retirements} from '@banyanfold/log';
import type {
  AdmissionParts,
  AgentBasis,
  ControlParts,
  Leaving,
  MemoryParts,
} from '../agentContext.js';
import {isUnpublished} from '../control/configView.js';
import {EngineWatch} from '../control/engineWatch.js';
import {LoadReporter} from '../control/loadReporter.js';
import {PrefixTracker} from '../control/prefixTracker.js';
import {ProposalHandler} from '../control/proposalHandler.js';
import {RunnerRole} from '../control/runnerRole.js';

/** Builds what follows the engine and the log, and what planners speak to. */
export function createControlParts(
  basis: AgentBasis & Leaving & MemoryParts & AdmissionParts,
): ControlParts {
  const {settings, fence, queue, isLeaving} = basis;
  const prefixes = new PrefixTracker(settings.maxCachedPrefixes);
  const role = new RunnerRole(settings.runnerRole);
  const {config, retirements} = createFollowers(basis);
  const reporter = new LoadReporter({
    ...basis,
    prefixes,
    incarnation: () => fence.incarnation,
    configVersion: () => config.version,
    runnerRole: () => role.current,
  });
  const watch = new EngineWatch({
    ...basis,
    intervalMs: settings.reportIntervalMs,
    runnerRole: () => role.current,
    onReport: report => {
      role.observe(report);
      queue.dispatchWaiting();
    },
  });
  const proposals = new ProposalHandler({
    ...basis,
    retirements,
    inheritedRetireHoldMs: settings.memory.inheritedRetireHoldMs,
    isUnpublished: async artifact => {
      const read = await config.readNow();
      return read.isOk() && isUnpublished(config.state, artifact);
    },
    hasFence: () => fence.current() !== undefined,
    isLeaving,
    setRunnerRole: (name, setAtMs) => role.set(name, setAtMs),
  });
  return {prefixes, role, config, retirements, reporter, watch, proposals};
}

function createFollowers(
  basis: AgentBasis,
): Pick<ControlParts, 'config' | 'retirements'> {
  const {settings} = basis;
  const {vmId} = settings;
  const config = new ConfigFollower({
    ...basis,
    vmId,
    // Checkpoints are the entries' work; an agent never finds one due.
    liveVmIds: () => [],
    retentionMs: Number.MAX_SAFE_INTEGER,
  });
  const retirements = new Retirements({
    ...basis,
    vmId,
    retentionMs: settings.platform.logRetentionMs,
  });
  return {config, retirements};
}
