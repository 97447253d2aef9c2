import type {Plugin, Timer} from '@banyanfold/core';
import {agentPlugins, type AgentContext} from '../agentContext.js';

/** Creates the plug-in that polls the engine's cache events sequentially. */
export function prefixCachePlugin(context: AgentContext): Plugin {
  const {clock, engine, prefixes, metrics, settings} = context;
  let timer: Timer | undefined;
  let stopped = false;

  async function poll(): Promise<void> {
    const answer = await engine.cacheEvents(prefixes.fromSeq);
    const hadGap = answer.isOk() && prefixes.apply(answer.value);
    if (hadGap) metrics.count('agent_cache_event_gaps_total');
    if (stopped) return;
    timer = clock.setTimer(settings.reportIntervalMs, () => void poll());
  }

  return {
    name: 'prefix-cache',
    async start() {
      void poll();
    },
    async stop() {
      stopped = true;
      timer?.cancel();
    },
  };
}

agentPlugins.register('prefix-cache', prefixCachePlugin);
