// Clients that we don't control, in a process of their own; none reads an
// answer, and all stay open. Usage: node full-crowd.mjs HOST PORT
import net from 'node:net';

const [host, port] = process.argv.slice(2);
const WRITE_BYTES = 65_536;
const HEAD =
  'POST /lodge/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: c\r\n';
const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;
const chunk = bytes => `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;

/** What the clients of each kind send: a start, then pieces. */
const KINDS = [
  // Bodies in large chunks that stop just short of 4 MB.
  {clients: 600, start: CHUNKED, piece: chunk(65_000), pieces: 64},
  // Requests ahead, and a body in small chunks that stops short of its end.
  {
    clients: 750,
    start: `${HEAD}Content-Length: 1\r\n\r\nx`.repeat(300) + CHUNKED,
    piece: chunk(100),
    pieces: 10,
  },
  // Requests ahead with small bodies.
  {
    clients: 300,
    start: '',
    piece: `${HEAD}Content-Length: 1000\r\n\r\n${'x'.repeat(1_000)}`,
    pieces: 2_000,
  },
];

function play({start, piece, pieces}) {
  const perBlock = Math.max(1, Math.floor(WRITE_BYTES / piece.length));
  const block = Buffer.from(piece.repeat(perBlock));
  const pieceBytes = block.length / perBlock;
  let left = pieces;
  const socket = net.connect(Number(port), host);
  const send = () => {
    while (left > 0 && !socket.destroyed) {
      const count = Math.min(perBlock, left);
      left -= count;
      if (!socket.write(block.subarray(0, count * pieceBytes))) return;
    }
  };
  socket.on('error', () => {});
  socket.pause();
  socket.write(start);
  socket.on('drain', send);
  socket.once('connect', send);
}

for (const kind of KINDS) {
  for (let i = 0; i < kind.clients; i++) play(kind);
}
setInterval(() => {}, 1_000);
