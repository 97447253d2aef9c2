import type {
  AdmissionParts,
  AgentBasis,
  ControlParts,
  DataParts,
  Leaving,
  MemoryParts,
} from '../agentContext.js';
import type {AttemptContext} from '../attempts/attemptContext.js';
import {AttemptSealer} from '../attempts/attemptSealer.js';
import {AttemptServer} from '../attempts/attemptServer.js';
import {EngineCanceller} from '../attempts/engineCanceller.js';
import {createServiceDispatcher} from '../attempts/serviceAttempt.js';
import {kvBytesPerTokenOf} from '../control/configView.js';

/** Builds the way of a request, from the listener to the engine. */
export function createDataParts(
  basis: AgentBasis & Leaving & MemoryParts & AdmissionParts & ControlParts,
): DataParts {
  const {settings, fence, engine, reporter, prefixes, config} = basis;
  const canceller = new EngineCanceller({
    ...basis,
    orderLateBoundMs: settings.engine.orderLateBoundMs,
  });
  const isOwnIncarnation = (incarnation: number) =>
    fence.isOwnIncarnation(incarnation);
  const attemptContext: AttemptContext = {
    ...basis,
    canceller,
    isOwnIncarnation,
    loadHeader: () => JSON.stringify(reporter.digest()),
    kvBytesPerToken: artifact => kvBytesPerTokenOf(config.state, artifact),
    recordPrefix: prefixHash => prefixes.confirm(prefixHash),
    recordServed: artifact => reporter.noteServed(artifact),
  };
  const seals = new AttemptSealer({
    ...basis,
    graceMs: settings.retention.sealGraceMs,
    isOwnIncarnation,
  });
  const dispatcher = createServiceDispatcher(settings.serviceTimeoutMs);
  const attempts = new AttemptServer(attemptContext, dispatcher);
  const close = async () => {
    canceller.stop();
    await Promise.all([engine.close(), dispatcher.destroy()]);
  };
  return {attemptContext, attempts, seals, close};
}
