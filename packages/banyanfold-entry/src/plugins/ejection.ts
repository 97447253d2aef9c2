import {decideEjections} from '@banyanfold/decisions';
import {entryPlugins, type EntryContext, type EntryPlugin} from '../context.js';
import {Poller} from '../view/poller.js';

/** Creates the plug-in that temporarily ejects slow and failing runners. */
export function ejectionPlugin(context: EntryContext): EntryPlugin {
  const {clock, logger, random, settings} = context;
  const poller = new Poller({
    clock,
    logger,
    random,
    intervalMs: settings.ejectionIntervalMs,
    maxBackoffMs: settings.ejectionIntervalMs,
    async poll() {
      ejectOutliers(context);
      return true;
    },
  });
  return {
    name: 'ejection',
    async start() {
      poller.startInBackground();
    },
    async stop() {
      poller.stop();
    },
  };
}

function ejectOutliers(context: EntryContext): void {
  const {clock, logger, metrics, settings, view} = context;
  // Runners are compared only with others of the same role. Otherwise a healthy
  // runner whose role has longer requests, such as writing drafts, would look
  // slow beside those that answer short ones, and be ejected.
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
  const decayFactor = 0.5 ** (ejectionIntervalMs / outcomeHalfLifeMs);
  for (const agent of view.agents()) agent.decayOutcomes(decayFactor);
}

entryPlugins.register('ejection', ejectionPlugin);
