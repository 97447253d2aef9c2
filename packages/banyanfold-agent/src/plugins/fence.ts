import type {Plugin} from '@banyanfold/core';
import {agentPlugins, type AgentContext} from '../agentContext.js';

/**
 * Creates the plug-in that gets this process its fencing number. The start
 * goes on while the log is out: what the engine holds is served meanwhile.
 */
export function fencePlugin({fence}: AgentContext): Plugin {
  return {
    name: 'fence',
    async start() {
      const hasFence = await fence.tryAcquire();
      if (!hasFence) void fence.acquire();
    },
    async stop() {
      fence.stop();
    },
  };
}

agentPlugins.register('fence', fencePlugin);
