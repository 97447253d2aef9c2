import {MemoryLogger, VirtualClock} from '@banyanfold/core';
import {describe, expect, it} from 'vitest';
import {Drain} from '../drain.js';
import type {GatewayServer} from '../gatewayServer.js';
import {DEFAULT_OPTIONS} from '../options.js';
import type {LeaseSource} from '../types.js';

describe('Drain', () => {
  // Guards against a drain that cuts off all requests as the lease can't be
  // released.
  it('finishes the open requests if the release fails', async () => {
    const clock = new VirtualClock();
    const logger = new MemoryLogger();
    const callers = {
      openRequests: 1,
      connectionCount: 0,
      refuseUnsent: () => {},
      closeIdleConnections: () => {},
      closeSilentConnections: () => {},
      stopAccepting: () => {},
    };
    const drain = new Drain({
      clock,
      logger,
      callers: callers as unknown as GatewayServer,
      lease: {
        current: () => ({isHolder: false}),
        release: () => Promise.reject(new TypeError('Invalid URL')),
      } as unknown as LeaseSource,
      graceMs: 8_000,
      options: DEFAULT_OPTIONS,
    });
    let isDrained = false;
    const drained = drain.run().then(() => {
      isDrained = true;
    });
    await clock.advance(4_000);
    expect(isDrained).toBe(false);
    callers.openRequests = 0;
    await clock.advance(500);
    await drained;
    expect(logger.lines.join()).toContain('event=lease-release-failed');
  });
});
