import {once} from 'node:events';
import {createServer, connect, type AddressInfo, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {systemClock} from '../clock.js';
import {timeoutSignal} from '../timeoutSignal.js';

const TIMEOUT_MS = 20;
/** The timer is due this long before the event loop goes on. */
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

/** Nothing of this process runs, while bytes wait at its socket. */
function stallWithBytesWaiting(): void {
  sender.write('answer');
  const endMs = performance.now() + STALL_MS;
  while (performance.now() < endMs);
}

// Guards against calls that are given up although their answer came in time,
// because this process stood still and its timers run before its sockets are read.
describe('after a stall of the process', () => {
  it('a timer of the system clock runs after what has come is read', async () => {
    const order: string[] = [];
    receiver.on('data', () => order.push('data'));
    const timer = new Promise<void>(resolve => {
      systemClock.setTimer(TIMEOUT_MS, () => {
        order.push('timer');
        resolve();
      });
    });
    stallWithBytesWaiting();
    await timer;
    expect(order).toEqual(['data', 'timer']);
  });

  it('a time limit passes after what has come is read', async () => {
    const order: string[] = [];
    receiver.on('data', () => order.push('data'));
    const signal = timeoutSignal(TIMEOUT_MS);
    const aborted = once(signal, 'abort');
    stallWithBytesWaiting();
    await aborted;
    expect(order).toEqual(['data']);
    expect(signal.reason).toMatchObject({name: 'TimeoutError'});
  });
});

describe('systemClock.setTimer', () => {
  it('runs nothing once it is cancelled, also after a stall', async () => {
    let ran = false;
    const timer = systemClock.setTimer(TIMEOUT_MS, () => (ran = true));
    receiver.on('data', () => timer.cancel());
    stallWithBytesWaiting();
    await new Promise(resolve => setTimeout(resolve, TIMEOUT_MS));
    expect(ran).toBe(false);
  });
});
