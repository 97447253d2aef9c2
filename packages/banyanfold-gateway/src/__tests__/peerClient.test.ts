import net, {type AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {createPeerClient} from '../peers/peerClient.js';
import type {ExchangeInput} from '../peers/peerContract.js';

const TIMEOUT_MS = 100;
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
const note = (thrown: unknown) => uncaught.push(thrown);

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
  process.on('uncaughtException', note);
  process.on('unhandledRejection', note);
});

afterEach(() => {
  process.off('uncaughtException', note);
  process.off('unhandledRejection', note);
  server.close();
});

/** Until the events of a closed connection have come. */
async function settle(): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, TIMEOUT_MS));
}

describe('createPeerClient', () => {
  // All requests of an entry are cut off: its process ends with an error that
  // nobody handles. Its peer was suspended, or its machine gone; the connection
  // is given up before, or just as, it comes about.
  const peers: Record<string, (socket: net.Socket) => void> = {
    'never answers': () => {},
    'resets the connection': socket => socket.resetAndDestroy(),
    'answers with something else': socket =>
      socket.end('HTTP/1.1 500 no\r\n\r\n'),
    'answers no protocol': socket => socket.end('\u0000\u0001\r\n\r\n'),
  };
  for (const [what, act] of Object.entries(peers)) {
    it(`survives a peer that ${what}`, async () => {
      onConnection = act;
      const client = createPeerClient(address, TIMEOUT_MS, TIMEOUT_MS);
      await expect(client.exchange(INPUT)).rejects.toThrow();
      client.close();
      await settle();
      expect(uncaught).toEqual([]);
    });
  }

  it('survives being closed while its connection comes about', async () => {
    onConnection = () => {};
    const client = createPeerClient(address, TIMEOUT_MS, TIMEOUT_MS);
    const asked = client.exchange(INPUT).catch((thrown: unknown) => thrown);
    client.close();
    expect(await asked).toBeInstanceOf(Error);
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
});
