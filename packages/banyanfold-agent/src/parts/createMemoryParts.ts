import type {AgentBasis, Leaving, MemoryParts} from '../agentContext.js';
import {EngineClient} from '../engine/engineClient.js';
import {FencingTokenManager} from '../engine/fencingTokenManager.js';
import {OrderSender} from '../engine/orderSender.js';
import {MemoryLedger} from '../memory/memoryLedger.js';

/** Builds the engine's client, its ledger and what gives it orders. */
export function createMemoryParts(
  basis: AgentBasis,
  {setLeaving}: Leaving,
): MemoryParts {
  const {settings, clock, logger} = basis;
  const {checksFencing, orderLateBoundMs} = settings.engine;
  const fence = new FencingTokenManager({...basis, vmId: settings.vmId});
  const nextOrderId = createOrderIds(settings.vmId, fence);
  const engine = new EngineClient({...settings.engine, clock});
  const ledger = new MemoryLedger({
    ...settings.memory,
    clock,
    checksFencing,
    orderLateBoundMs,
    nameCopy: nextOrderId,
  });
  const orders = new OrderSender({
    ...basis,
    engine,
    ledger,
    fencing: () => fence.current(),
    onSuperseded: highestFencing => {
      logger.error('superseded', {highestFencing});
      fence.markSuperseded();
      setLeaving();
    },
  });
  return {fence, engine, ledger, orders, nextOrderId};
}

/** Ids that are unique for all time: an incarnation names one process, once. */
function createOrderIds(
  vmId: string,
  fence: FencingTokenManager,
): (artifact: string) => string {
  let count = 0;
  return artifact => `${vmId}/${artifact}#${fence.incarnation}.${++count}`;
}
