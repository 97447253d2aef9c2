import type {Plugin} from '@banyanfold/core';
import {agentPlugins, type AgentContext} from '../agentContext.js';

/** Creates the plug-in that follows the log's configuration and retirements. */
export function followersPlugin(context: AgentContext): Plugin {
  const {config, retirements} = context;
  return {
    name: 'followers',
    async start() {
      config.start();
      retirements.start();
    },
    async stop() {
      config.stop();
      retirements.stop();
    },
  };
}

agentPlugins.register('followers', followersPlugin);
