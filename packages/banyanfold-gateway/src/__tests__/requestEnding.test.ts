import type {ServerResponse} from 'node:http';
import {MemoryLogger, Metrics} from '@banyanfold/core';
import {expect, it} from 'vitest';
import {RequestEnding} from '../requests/requestEnding.js';
import type {RequestState} from '../requests/requestState.js';

// Guards against charging a cap for a request that is refused while its attempt
// waits for a connection, so that callers below the cap would be refused later.
it('refunds a request that is refused before its connection is established', () => {
  const ignore = () => {};
  let refunds = 0;
  const state = {
    isFinished: false,
    mayHaveStarted: false,
    mayHaveRun: false,
    sendCount: 1,
    rejections: 0,
    leftMs: 1_000,
    clearWaiting: ignore,
    pause: {wake: ignore},
    usageCharge: {refund: () => (refunds += 1)},
    relay: {cancel: () => false},
    log: {end: ignore},
    permits: {end: ignore},
    options: {
      context: {
        logger: new MemoryLogger(),
        metrics: new Metrics(),
        random: () => 0,
        isDraining: () => false,
      },
      route: {kind: 'plain'},
      response: {writeHead: ignore, end: ignore} as unknown as ServerResponse,
    },
  };
  const ending = new RequestEnding(state as unknown as RequestState);
  ending.refuseIfNotStarted('no-place-in-time');
  expect(refunds).toBe(1);
});
