import {once} from 'node:events';
import {createServer, connect, type AddressInfo, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {systemClock} from '../clock.js';
import {timeoutSignal} from '../timeoutSignal.js';

const TIMEOUT_MS = 20;
/** Duration of the stall; the timer is due before it ends. */
const STALL_MS = 200;

let sender: Socket;
let receiver: Socket;

beforeEach(async () => {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const accepted = once(server, 'connection') as Promise<[Socket]>;
  receiver = connect((server.address() as AddressInfo).port, '127.0.0.1');
  const connected = once(receiver, 'connect');
  [sender] = await accepted;
  await connected;
  server.close();
});

afterEach(() => {
  sender.destroy();
  receiver.destroy();
});

/** Blocks the event loop while received bytes wait in the socket. */
function stallWithUnreadData(): void {
  sender.write('answer');
  const endMs = performance.now() + STALL_MS;
  while (performance.now() < endMs);
}

// Guards against calls that time out although their response arrived in time. After
// a stall, Node runs its timers before it reads its sockets.
describe('after a stall of the process', () => {
  it('a timer of the system clock runs after the received data is read', async () => {
    const order: string[] = [];
    receiver.on('data', () => order.push('data'));
    const timer = new Promise<void>(resolve => {
      systemClock.setTimer(TIMEOUT_MS, () => {
        order.push('timer');
        resolve();
      });
    });
    stallWithUnreadData();
    await timer;
    expect(order).toEqual(['data', 'timer']);
  });

  it('a timeout signal aborts after the received data is read', async () => {
    const order: string[] = [];
    receiver.on('data', () => order.push('data'));
    const signal = timeoutSignal(TIMEOUT_MS);
    const aborted = once(signal, 'abort');
    stallWithUnreadData();
    await aborted;
    expect(order).toEqual(['data']);
    expect(signal.reason).toMatchObject({name: 'TimeoutError'});
  });
});

describe('systemClock.setTimer', () => {
  it('runs no cancelled callback, even after a stall', async () => {
    let isCalled = false;
    const timer = systemClock.setTimer(TIMEOUT_MS, () => (isCalled = true));
    receiver.on('data', () => timer.cancel());
    stallWithUnreadData();
    await new Promise(resolve => setTimeout(resolve, TIMEOUT_MS));
    expect(isCalled).toBe(false);
  });
});
