import type {Plugin} from '@banyanfold/core';
import {agentPlugins, type AgentContext} from '../agentContext.js';

/** Creates the plug-in that reads the engine's reports and gives it orders. */
export function enginePlugin(context: AgentContext): Plugin {
  const {watch, orders, proposals, queue} = context;
  return {
    name: 'engine',
    start: () => watch.start(),
    async stop() {
      watch.stop();
      orders.stop();
      proposals.stop();
      queue.stop();
    },
  };
}

agentPlugins.register('engine', enginePlugin);
