import {runInBackground, type Plugin, type Timer} from '@banyanfold/core';
import {agentPlugins, type AgentContext} from '../agentContext.js';

/** Creates the plug-in that polls the engine's cache events sequentially. */
export function prefixCachePlugin(context: AgentContext): Plugin {
  const {clock, logger, engine, prefixes, metrics, settings} = context;
  let timer: Timer | undefined;
  let stopped = false;

  async function poll(): Promise<void> {
    try {
      const answer = await engine.cacheEvents(prefixes.fromSeq);
      const hadGap = answer.isOk() && prefixes.apply(answer.value);
      if (hadGap) metrics.count('agent_cache_event_gaps_total');
    } finally {
      if (!stopped) {
        timer = clock.setTimer(settings.reportIntervalMs, pollInBackground);
      }
    }
  }

  function pollInBackground(): void {
    runInBackground({logger, step: 'poll-cache-events'}, poll);
  }

  return {
    name: 'prefix-cache',
    async start() {
      pollInBackground();
    },
    async stop() {
      stopped = true;
      timer?.cancel();
    },
  };
}

agentPlugins.register('prefix-cache', prefixCachePlugin);
