import {runInBackground, type Plugin} from '@banyanfold/core';
import {agentPlugins, type AgentContext} from '../agentContext.js';

/**
 * Creates the plug-in that acquires this process's fencing token. If the log is
 * unavailable, it retries in the background, and the agent meanwhile serves the
 * copies that the engine holds.
 */
export function fencePlugin({fence, logger}: AgentContext): Plugin {
  return {
    name: 'fence',
    async start() {
      const hasFence = await fence.tryAcquire();
      if (hasFence) return;
      runInBackground({logger, step: 'acquire-fence'}, () => fence.acquire());
    },
    async stop() {
      fence.stop();
    },
  };
}

agentPlugins.register('fence', fencePlugin);
