import type {Plugin} from '@banyanfold/core';
import {agentPlugins, type AgentContext} from '../agentContext.js';

/** Creates the plug-in that registers gauges of requests and memory. */
export function metricsPlugin(context: AgentContext): Plugin {
  const {metrics, queue, registry, ledger} = context;
  const {budget} = ledger;
  return {
    name: 'metrics',
    async start() {
      metrics.gauge('agent_running', () => queue.runningCount());
      metrics.gauge('agent_queued', () => queue.queuedCount());
      metrics.gauge('agent_open_attempts', () => registry.openCount());
      metrics.gauge('agent_memory_capacity_bytes', () =>
        budget.capacityBytes(),
      );
      metrics.gauge('agent_memory_free_bytes', () => budget.freeBytes());
      metrics.gauge('agent_kv_free_bytes', () => budget.kvFreeBytes());
    },
  };
}

agentPlugins.register('metrics', metricsPlugin);
