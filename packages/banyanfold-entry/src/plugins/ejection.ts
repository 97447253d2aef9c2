import {decideEjections} from '@banyanfold/decisions';
import {entryPlugins, type EntryContext, type EntryPlugin} from '../context.js';
import {Poller} from '../view/poller.js';

/** Creates the plug-in that leaves out slow and failing runners for a while. */
export function ejectionPlugin(context: EntryContext): EntryPlugin {
  const {clock, random, settings} = context;
  const poller = new Poller({
    clock,
    random,
    intervalMs: settings.ejectionIntervalMs,
    maxBackoffMs: settings.ejectionIntervalMs,
    async poll() {
      judgeRunners(context);
      return true;
    },
  });
  return {
    name: 'ejection',
    async start() {
      void poller.start();
    },
    async stop() {
      poller.stop();
    },
  };
}

function judgeRunners(context: EntryContext): void {
  const {clock, logger, metrics, settings, view} = context;
  // Without its role as the group, a runner of drafts looks slow beside those
  // that answer the counter, and is left out though it is healthy.
  const outcomes = view.agents().map(agent => ({
    ...agent.readOutcomes(),
    peerGroup: agent.runner.runnerRole,
  }));
  const {ejected} = decideEjections(outcomes, clock.nowMs());
  for (const {vmId, untilMs, reason} of ejected) {
    view.agent(vmId)?.eject(untilMs);
    metrics.count('ejections_total', {agent: vmId});
    logger.warn('runner-ejected', {agent: vmId, reason});
  }
  const {ejectionIntervalMs, outcomeHalfLifeMs} = settings;
  const kept = 0.5 ** (ejectionIntervalMs / outcomeHalfLifeMs);
  for (const agent of view.agents()) agent.decayOutcomes(kept);
}

entryPlugins.register('ejection', ejectionPlugin);
