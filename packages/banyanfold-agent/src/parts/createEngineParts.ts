import type {
  AgentDependencies,
  LeavingFlag,
  EngineParts,
} from '../agentContext.js';
import {EngineClient} from '../engine/engineClient.js';
import {FenceKeeper} from '../engine/fenceKeeper.js';
import {OrderSender} from '../engine/orderSender.js';
import {MemoryLedger} from '../memory/memoryLedger.js';

/** Builds the engine's client, its ledger and what gives it orders. */
export function createEngineParts(
  dependencies: AgentDependencies,
  {markLeaving}: LeavingFlag,
): EngineParts {
  const {settings, clock, logger} = dependencies;
  const {checksFencing, orderLateBoundMs} = settings.engine;
  const fence = new FenceKeeper({...dependencies, vmId: settings.vmId});
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

/** Ids that are unique for all time: an incarnation names one process, once. */
function createOrderIdGenerator(
  vmId: string,
  fence: FenceKeeper,
): (artifact: string) => string {
  let count = 0;
  return artifact => `${vmId}/${artifact}#${fence.incarnation}.${++count}`;
}
