import {sleep, type Plugin} from '@banyanfold/core';
import {agentPlugins, type AgentContext} from '../agentContext.js';

/** The start waits no longer than this for the first report from after it. */
const START_TIMEOUT_MS = 2_000;
const START_POLL_MS = 10;

/** Creates the plug-in that reads the engine's reports and gives it orders. */
export function enginePlugin(context: AgentContext): Plugin {
  const {clock, engineMonitor, ledger, orders, proposals, queue} = context;
  return {
    name: 'engine',
    async start() {
      await engineMonitor.start();
      const endMs = clock.nowMs() + START_TIMEOUT_MS;
      while (!ledger.isKvUseKnown() && clock.nowMs() < endMs) {
        await sleep(clock, START_POLL_MS);
      }
    },
    async stop() {
      engineMonitor.stop();
      orders.stop();
      proposals.stop();
      queue.stop();
    },
  };
}

agentPlugins.register('engine', enginePlugin);
