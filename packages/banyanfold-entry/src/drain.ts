import type {Server} from 'node:http';
import {sleep} from '@banyanfold/core';
import type {EntryContext} from './context.js';

const MS_PER_SECOND = 1000;

/**
 * Leaves without cutting off a request: readiness fails first, so that the
 * balancer stops sending; then the listener closes; then what is open has
 * until the bound. What is still open then is counted in the log.
 */
export async function drainEntry(
  context: EntryContext,
  server: Server,
): Promise<void> {
  const {clock, lifecycle, logger, settings} = context;
  lifecycle.leave();
  logger.info('drain-started', {open: lifecycle.openRequestCount});
  await sleep(clock, settings.drainNoticeMs);
  // Closes idle connections too; those in use get `Connection: close` with
  // their answer.
  server.close();
  const bound = new Promise<'bound'>(resolve => {
    clock.setTimer(settings.drainBoundMs, () => resolve('bound'));
  });
  const idle = lifecycle.whenIdle().then(() => 'idle' as const);
  const ended = await Promise.race([idle, bound]);
  if (ended === 'idle') {
    logger.info('drain-finished');
    return;
  }
  logger.warn('drain-bound-passed', {
    cutOff: lifecycle.openRequestCount,
    boundSeconds: settings.drainBoundMs / MS_PER_SECOND,
  });
}
