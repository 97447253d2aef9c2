import net, {type AddressInfo, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {FaultProxy} from '../faultProxy.js';

let server: net.Server;
let proxy: FaultProxy;
let received: string;
let answers: Socket[];

beforeEach(async () => {
  received = '';
  answers = [];
  server = net.createServer(socket => {
    answers.push(socket);
    socket.on('data', chunk => (received += String(chunk)));
    socket.on('error', () => {});
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  proxy = new FaultProxy(`127.0.0.1:${port}`);
  await proxy.listen();
});

afterEach(() => {
  proxy.close();
  server.close();
});

function connect() {
  const socket = net.connect(Number(proxy.address.split(':')[1]), '127.0.0.1');
  const seen = {text: '', isClosed: false};
  socket.on('data', chunk => (seen.text += String(chunk)));
  socket.on('error', () => {});
  socket.on('close', () => (seen.isClosed = true));
  return {socket, seen};
}

async function until(holds: () => boolean): Promise<void> {
  while (!holds()) await new Promise(resolve => setTimeout(resolve, 5));
}

describe('FaultProxy', () => {
  it('passes both ways', async () => {
    const {socket, seen} = connect();
    socket.write('ask');
    await until(() => received === 'ask');
    answers[0]!.write('tell');
    await until(() => seen.text === 'tell');
  });

  it('loses what goes one way for good, and not on a new connection', async () => {
    const {socket, seen} = connect();
    socket.write('a');
    await until(() => received === 'a');
    proxy.set('answers-lost');
    answers[0]!.write('lost');
    socket.write('b');
    await until(() => received === 'ab');
    proxy.set('pass');
    answers[0]!.write('lost too');
    const next = connect();
    next.socket.write('c');
    await until(() => received === 'abc');
    answers[1]!.write('told');
    await until(() => next.seen.text === 'told');
    expect(seen.text).toBe('');
    expect(seen.isClosed).toBe(false);
  });

  it('resets open connections and new ones', async () => {
    const first = connect();
    first.socket.write('a');
    await until(() => received === 'a');
    proxy.set('reset');
    await until(() => first.seen.isClosed);
    const second = connect();
    await until(() => second.seen.isClosed);
  });
});
