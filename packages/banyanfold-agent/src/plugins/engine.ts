import {sleep, type Plugin} from '@banyanfold/core';
import {agentPlugins, type AgentContext} from '../agentContext.js';

/** The longest that the start waits for a report that postdates it. */
const START_TIMEOUT_MS = 2_000;
const START_POLL_MS = 10;

/** Creates the plug-in that polls the engine's reports and sends it orders. */
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
