import type {
  AgentDependencies,
  LeavingFlag,
  EngineParts,
} from '../agentContext.js';
import {EngineClient} from '../engine/engineClient.js';
import {FencingTokenManager} from '../engine/fencingTokenManager.js';
import {OrderSender} from '../engine/orderSender.js';
import {MemoryLedger} from '../memory/memoryLedger.js';

/**
 * Creates the engine's client, its memory ledger, the fencing token's holder
 * and the sender of orders.
 */
export function createEngineParts(
  dependencies: AgentDependencies,
  {markLeaving}: LeavingFlag,
): EngineParts {
  const {settings, clock, logger} = dependencies;
  const {checksFencing, orderLateBoundMs} = settings.engine;
  const fence = new FencingTokenManager({...dependencies, vmId: settings.vmId});
  const nextOrderId = createOrderIdGenerator(settings.vmId, fence);
  const engine = new EngineClient({...settings.engine, clock});
  const ledger = new MemoryLedger({
    ...settings.memory,
    clock,
    checksFencing,
    orderLateBoundMs,
    createCopyId: nextOrderId,
  });
  const orders = new OrderSender({
    ...dependencies,
    engine,
    ledger,
    fencing: () => fence.current(),
    onSuperseded: highestFencing => {
      logger.error('superseded', {highestFencing});
      fence.markSuperseded();
      markLeaving();
    },
  });
  return {fence, engine, ledger, orders, nextOrderId};
}

/**
 * Returns a generator of order ids. The ids are never reused, because each
 * process has its own incarnation.
 */
function createOrderIdGenerator(
  vmId: string,
  fence: FencingTokenManager,
): (artifact: string) => string {
  let count = 0;
  return artifact => `${vmId}/${artifact}#${fence.incarnation}.${++count}`;
}
