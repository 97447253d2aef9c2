import {once} from 'node:events';
import net, {type AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {WebSocketServer} from 'ws';
import {createPeerClient} from '../peers/peerClient.js';
import type {ExchangeInput} from '../peers/peerContract.js';
import {MAX_PEER_MESSAGE_BYTES} from '../peers/peerServer.js';

const TIMEOUT_MS = 100;
/** Code with which a WebSocket is closed for that. */
const MESSAGE_TOO_BIG = 1009;
const INPUT: ExchangeInput = {
  entry: 'e1:7',
  members: [],
  configVersion: 1,
  runnersChange: 0,
  openWork: {},
  adaptersInUse: {},
  modelsInUse: {},
  waiting: {},
  batch: {batchId: 'e1#1', demand: []},
};

let server: net.Server;
let address: string;
let onConnection: (socket: net.Socket) => void;
const uncaught: unknown[] = [];
const recordError = (thrown: unknown) => uncaught.push(thrown);

beforeEach(async () => {
  server = net.createServer(socket => {
    socket.on('error', () => {});
    onConnection(socket);
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  uncaught.length = 0;
  process.on('uncaughtException', recordError);
  process.on('unhandledRejection', recordError);
});

afterEach(() => {
  process.off('uncaughtException', recordError);
  process.off('unhandledRejection', recordError);
  server.close();
});

/** Waits for the events of a closed connection. */
async function settle(): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, TIMEOUT_MS));
}

describe('createPeerClient', () => {
  // An unhandled error would end the process and abort all its requests. It
  // arises if a connection is abandoned while it is being opened, because the
  // peer is suspended or its machine is down.
  const peers: Record<string, (socket: net.Socket) => void> = {
    'never answers': () => {},
    'resets the connection': socket => socket.resetAndDestroy(),
    'answers with an HTTP error': socket =>
      socket.end('HTTP/1.1 500 no\r\n\r\n'),
    'does not answer with HTTP': socket => socket.end('\u0000\u0001\r\n\r\n'),
  };
  for (const [description, respond] of Object.entries(peers)) {
    it(`survives a peer that ${description}`, async () => {
      onConnection = respond;
      const client = createPeerClient(address, TIMEOUT_MS, TIMEOUT_MS);
      await expect(client.exchange(INPUT)).rejects.toThrow();
      client.close();
      await settle();
      expect(uncaught).toEqual([]);
    });
  }

  it('survives being closed while its connection is being opened', async () => {
    onConnection = () => {};
    const client = createPeerClient(address, TIMEOUT_MS, TIMEOUT_MS);
    const outcome = client.exchange(INPUT).catch((thrown: unknown) => thrown);
    client.close();
    expect(await outcome).toBeInstanceOf(Error);
    await settle();
    expect(uncaught).toEqual([]);
  });

  it('survives a peer at an address where nothing listens', async () => {
    server.close();
    const client = createPeerClient(address, TIMEOUT_MS, TIMEOUT_MS);
    await expect(client.exchange(INPUT)).rejects.toThrow();
    client.close();
    await settle();
    expect(uncaught).toEqual([]);
  });

  // Guards against a process whose memory a peer fills.
  it('closes the connection of a peer whose message is too long', async () => {
    const sockets = new WebSocketServer({port: 0, host: '127.0.0.1'});
    await once(sockets, 'listening');
    const closedWith = new Promise(resolve => {
      sockets.on('connection', socket => {
        socket.once('close', resolve);
        socket.send(Buffer.alloc(MAX_PEER_MESSAGE_BYTES + 1));
      });
    });
    const {port} = sockets.address() as AddressInfo;
    const client = createPeerClient(
      `127.0.0.1:${port}`,
      TIMEOUT_MS,
      TIMEOUT_MS,
    );
    await expect(client.exchange(INPUT)).rejects.toThrow();
    expect(await closedWith).toBe(MESSAGE_TOO_BIG);
    client.close();
    sockets.close();
    await settle();
    expect(uncaught).toEqual([]);
  });
});
