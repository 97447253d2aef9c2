import type {Socket} from 'node:net';
import {systemClock, type Clock} from '@banyanfold/core';
import {buildConnector} from 'undici';

export interface ConnectorOptions {
  /** Limit on opening a connection, in ms. */
  timeoutMs: number;
  clock?: Clock;
}

/**
 * Creates a connector for undici that gives up a connection when its limit is
 * over. The library's own limit works in steps of half a second.
 *
 * @example new Pool(origin, {connect: createConnector({timeoutMs: 400})})
 */
export function createConnector({
  timeoutMs,
  clock = systemClock,
}: ConnectorOptions): buildConnector.connector {
  const connect = buildConnector({timeout: 0});
  return (target, done) => {
    // The library returns the socket, which its types don't declare.
    const socket = connect(target, (...result) => {
      timer.cancel();
      done(...result);
    }) as unknown as Socket;
    const timer = clock.setTimer(timeoutMs, () => {
      socket.destroy(new Error(`no connection within ${timeoutMs} ms`));
    });
  };
}
