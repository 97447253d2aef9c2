/** The connections of a process, each of which takes a descriptor. */
export interface DescriptorView {
  /** Descriptors for connections to callers and runners. */
  limit: number;
  callers: number;
  /** Open requests; each may take a connection to a runner. */
  requests: number;
  /** Connections to runners that carry no request. */
  idleRunners: number;
  /** Further descriptors that are needed. */
  wanted: number;
}

export interface DescriptorDecision {
  isAvailable: boolean;
  idleRunnersToClose: number;
}

/**
 * Decides whether a caller can be served within the descriptors of the process.
 * Without descriptors a process can neither accept callers nor reach a runner or
 * the store, and requests that it has accepted fail. Idle connections to runners
 * only save the time to connect, so they are closed first; requests that are
 * open keep their connections.
 */
export function decideDescriptors({
  limit,
  callers,
  requests,
  idleRunners,
  wanted,
}: DescriptorView): DescriptorDecision {
  const excess = callers + requests + idleRunners + wanted - limit;
  if (excess <= 0) return {isAvailable: true, idleRunnersToClose: 0};
  if (excess > idleRunners) return {isAvailable: false, idleRunnersToClose: 0};
  return {isAvailable: true, idleRunnersToClose: excess};
}
