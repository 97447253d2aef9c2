import type {Server} from 'node:http';
import {Server as NetServer} from 'node:net';
import {sleep} from '@banyanfold/core';
import type {EntryContext} from './context.js';

const MS_PER_SECOND = 1000;
/** Time for a request that is under way on an open connection; it is refused. */
const CLOSING_MS = 200;
const CLOSING_POLL_MS = 10;

/**
 * Shuts down gracefully: readiness fails first, so that the load balancer stops
 * sending; then the listener closes; then open requests have `drainBoundMs` to
 * finish. Requests on connections that are open then are served until no request
 * is left, and refused from then on. The number of requests still open at the
 * deadline is logged.
 */
export async function drainEntry(
  context: EntryContext,
  server: Server,
): Promise<void> {
  const {clock, lifecycle, logger, settings} = context;
  lifecycle.leave();
  logger.info('drain-started', {open: lifecycle.openRequestCount});
  await sleep(clock, settings.drainNoticeMs);
  // Connections in use get `Connection: close` with their response. The method
  // of the HTTP server would cut off responses that are not yet flushed.
  NetServer.prototype.close.call(server);
  lifecycle.closeIdleConnections();
  const deadline = new Promise<'timeout'>(resolve => {
    clock.setTimer(settings.drainBoundMs, () => resolve('timeout'));
  });
  const idle = lifecycle.whenIdle().then(() => 'idle' as const);
  const outcome = await Promise.race([idle, deadline]);
  lifecycle.stopServing();
  if (outcome === 'idle') {
    await closeConnections(context);
    logger.info('drain-finished');
    return;
  }
  logger.warn('drain-bound-passed', {
    cutOff: lifecycle.openRequestCount,
    boundSeconds: settings.drainBoundMs / MS_PER_SECOND,
  });
}

/** Closes each connection after its request, or without one after a while. */
async function closeConnections({
  clock,
  lifecycle,
}: EntryContext): Promise<void> {
  const endMs = clock.nowMs() + CLOSING_MS;
  lifecycle.closeIdleConnections();
  while (lifecycle.connectionCount > 0 && clock.nowMs() < endMs) {
    await sleep(clock, CLOSING_POLL_MS);
    lifecycle.closeIdleConnections();
  }
  lifecycle.closeSilentConnections();
}
