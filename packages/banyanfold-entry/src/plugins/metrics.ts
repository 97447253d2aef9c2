import {entryPlugins, type EntryContext, type EntryPlugin} from '../context.js';

/** Creates the plug-in that exports the metrics of requests and of the view. */
export function metricsPlugin(context: EntryContext): EntryPlugin {
  const {metrics, clock, lifecycle, configWatch, view} = context;
  return {
    name: 'metrics',
    async start() {
      metrics.gauge('open_requests', () => lifecycle.openRequestCount);
      metrics.gauge('config_version', () => configWatch.version);
      metrics.gauge(
        'reachable_agents',
        () => view.agents().filter(agent => agent.runner.reachable).length,
      );
    },
    requestEnded(job, result) {
      const selector = job.target.selector.name;
      metrics.count('requests_total', {selector, result: result.kind});
      const tookMs = clock.nowMs() - job.startedMs;
      metrics.observeMs('request_ms', tookMs, {selector});
    },
  };
}

entryPlugins.register('metrics', metricsPlugin);
