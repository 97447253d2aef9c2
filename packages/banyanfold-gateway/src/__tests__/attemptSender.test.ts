import {VirtualClock} from '@banyanfold/core';
import {expect, it} from 'vitest';
import {DEFAULT_OPTIONS} from '../options.js';
import {AttemptSender} from '../requests/attemptSender.js';
import type {RequestAdmission} from '../requests/requestAdmission.js';
import type {RequestState} from '../requests/requestState.js';
import type {Target} from '../requests/targetChooser.js';
import {RunnerConnections} from '../runners/runnerConnections.js';

// Guards against connections that are neither in use nor idle: they would take
// descriptors that nothing counts until the runner closes them.
it('keeps no connection after an error response of the runner', async () => {
  const clock = new VirtualClock();
  const connections = new RunnerConnections(clock, DEFAULT_OPTIONS);
  const ignore = () => {};
  const context = {
    clock,
    connections,
    rateLimits: {acquire: () => ({kind: 'admit'})},
    runnerStates: {workAhead: () => 0, recordStart: () => ({end: ignore})},
    codec: {encodeAttempt: () => []},
  };
  const failure = {kind: 'failed', status: 404, headers: {}, chunks: []};
  const state = {
    options: {
      context,
      decoded: {request: {}},
      route: {targetMs: 500},
      request: {},
    },
    targets: {isStillUsable: () => true},
    log: {route: ignore, attempt: ignore},
    clearWaiting: ignore,
    relay: {relay: () => Promise.resolve(failure)},
    suspect: {mayBeSent: true, noteSent: ignore},
    permits: {maySend: true, noteAttempt: ignore, noteResult: ignore},
  };
  const admission = {
    refuseIfQueueTooLong: () => false,
    endIfAccessRevoked: () => false,
  };
  const sender = new AttemptSender(
    state as unknown as RequestState,
    admission as unknown as RequestAdmission,
  );
  const runner = {runnerId: 'i-1', address: '127.0.0.1:1'};
  const result = await sender.trySend({runner} as unknown as Target);
  expect(result).toEqual(failure);
  expect(connections.openCount - connections.idleCount).toBe(0);
});
