// Clients that we don't control, in a process of their own. Usage:
// node crowd.mjs chunks|ahead COUNT AMOUNT HOST:PORT...
// chunks: each sends a body in chunks of one byte, stops just short of its end
// at AMOUNT bytes, and stays open.
// ahead: each sends AMOUNT requests ahead, without the usual headers, and reads
// no answer.
import net from 'node:net';
import {sleep} from './kit.mjs';

const CONNECT_AT_ONCE = 50;
const [kind, count, amount, ...addresses] = process.argv.slice(2);

function bytesOf(number) {
  if (kind === 'ahead') {
    const one = 'GET /status/x HTTP/1.1\r\nHost: desk.example\r\n\r\n';
    return Buffer.from(one.repeat(Number(amount)));
  }
  const head =
    'POST /lodge/x HTTP/1.1\r\nHost: desk.example\r\n' +
    `Request-Id: c${number.toString(16).padStart(15, '0')}\r\n` +
    'Transfer-Encoding: chunked\r\n\r\n';
  return Buffer.from(head + '1\r\na\r\n'.repeat(Number(amount)));
}

let sent = 0;
let closed = 0;
for (let i = 0; i < Number(count); i++) {
  const [host, port] = addresses[i % addresses.length].split(':');
  const socket = net.connect(Number(port), host);
  if (kind === 'ahead') socket.pause();
  else socket.resume();
  socket.once('connect', () => {
    socket.write(bytesOf(i), () => {
      sent += 1;
    });
  });
  socket.on('error', () => {});
  socket.on('close', () => {
    closed += 1;
  });
  if (i % CONNECT_AT_ONCE === CONNECT_AT_ONCE - 1) await sleep(20);
}
setInterval(() => {
  process.stdout.write(`${sent} of ${count} have sent all, ${closed} closed\n`);
}, 1_000);
