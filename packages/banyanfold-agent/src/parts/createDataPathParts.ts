import type {
  AdmissionParts,
  AgentDependencies,
  ControlParts,
  DataPathParts,
  LeavingFlag,
  EngineParts,
} from '../agentContext.js';
import type {AttemptContext} from '../attempts/attemptContext.js';
import {AttemptSealer} from '../attempts/attemptSealer.js';
import {AttemptServer} from '../attempts/attemptServer.js';
import {EngineCanceller} from '../attempts/engineCanceller.js';
import {createServiceDispatcher} from '../attempts/serviceAttempt.js';
import {findKvBytesPerToken} from '../control/configView.js';

/** Creates the parts that take a request from the listener to the engine. */
export function createDataPathParts(
  dependencies: AgentDependencies &
    LeavingFlag &
    EngineParts &
    AdmissionParts &
    ControlParts,
): DataPathParts {
  const {settings, fence, engine, reporter, prefixes, config} = dependencies;
  const canceller = new EngineCanceller({
    ...dependencies,
    orderLateBoundMs: settings.engine.orderLateBoundMs,
  });
  const isOwnIncarnation = (incarnation: number) =>
    fence.isOwnIncarnation(incarnation);
  const attemptContext: AttemptContext = {
    ...dependencies,
    canceller,
    isOwnIncarnation,
    loadHeader: () => JSON.stringify(reporter.digest()),
    kvBytesPerToken: artifact => findKvBytesPerToken(config.state, artifact),
    recordPrefix: prefixHash => prefixes.noteCached(prefixHash),
    recordServed: artifact => reporter.countServed(artifact),
  };
  const seals = new AttemptSealer({
    ...dependencies,
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
