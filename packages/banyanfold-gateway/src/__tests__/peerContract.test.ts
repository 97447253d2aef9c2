import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {
  createPeerClient,
  fetchLastOrder,
  fetchOrigins,
  fetchPeerConfig,
  offerLease,
  type PeerClient,
} from '../peers/peerClient.js';
import type {
  ExchangeInput,
  ExchangeOutput,
  PeerHandlers,
} from '../peers/peerContract.js';
import {PeerServer} from '../peers/peerServer.js';

const TIMEOUT_MS = 2_000;
const OWN = '10.1.0.38:7380';
const HANDOVER = {generation: 1, step: 1};
const ODD_ADDRESSES = [
  'somebody',
  '',
  '999.1.1.1:80',
  '10.1.0.1:70000',
  '10.1.0.1:0',
  '1.2.3.4.5:80',
  'http://10.1.0.1:80',
];
const ODD_NUMBERS = [1e300, -1e300, 1e308];

const INPUT: ExchangeInput = {
  entry: OWN,
  members: [{address: OWN, failureDomain: 'hall-a', processorShare: 0.5}],
  configVersion: 1,
  runnersChange: 0,
  openWork: {'i-1': 2.5},
  adaptersInUse: {},
  modelsInUse: {},
  waiting: {},
  batch: {
    batchId: 'b1',
    demand: [],
    // Admitted and then not sent.
    rateUse: [{runnerId: 'i-1', asked: 0, used: -1}],
  },
};

const OUTPUT: ExchangeOutput = {
  kind: 'told',
  holder: OWN,
  isOrdering: true,
  ageMs: 0,
  configVersion: 1,
  runnersChange: 0,
  runnersReadAgeMs: 12.5,
  entries: 1,
  standbys: [OWN],
  relays: [],
  loadAgesMs: [],
  copies: {epoch: 'e', revision: 1, isWhole: true, runners: [], gone: []},
  copiesInMs: {},
  peersWork: {'i-1': 4},
  peersRequests: {},
  // Over the limit, after it was lowered.
  usage: {claims: {left: -50, freedPerSecond: 1, askedPerSecond: 2}},
};

let handlers: Partial<Record<keyof PeerHandlers, (input?: unknown) => unknown>>;
let server: PeerServer;
let address: string;
let client: PeerClient;

beforeEach(async () => {
  handlers = {};
  const answer = (name: keyof PeerHandlers) => (input: unknown) =>
    handlers[name]?.(input);
  const names: Array<keyof PeerHandlers> = [
    'config',
    'requestRetries',
    'noteOrigins',
    'findOrigins',
    'exchange',
    'ensureAdapter',
    'permitTrial',
    'lastOrder',
    'takeOver',
  ];
  server = new PeerServer(
    Object.fromEntries(
      names.map(name => [name, answer(name)]),
    ) as unknown as PeerHandlers,
  );
  await server.listen({host: '127.0.0.1', port: 0});
  address = `127.0.0.1:${server.port}`;
  client = createPeerClient(address, TIMEOUT_MS, TIMEOUT_MS);
});

afterEach(() => {
  client.close();
  server.close();
});

/** A peer's answer with one odd field; the server checks no answers. */
const odd = (fields: object) => ({...OUTPUT, ...fields});

describe('the answer of a peer to an exchange', () => {
  it('is accepted if its values are in range', async () => {
    handlers.exchange = () => OUTPUT;
    expect(await client.exchange(INPUT)).toEqual(OUTPUT);
    handlers.exchange = () => ({kind: 'not-holder', holderAddress: OWN});
    expect(await client.exchange(INPUT)).toMatchObject({holderAddress: OWN});
    handlers.exchange = () => ({kind: 'not-holder'});
    expect((await client.exchange(INPUT)).kind).toBe('not-holder');
  });

  // Guards against a process that ends by itself when it calls a peer at what
  // isn't an address.
  it.each(ODD_ADDRESSES)('is an error with the address %j', async wrong => {
    for (const answer of [
      odd({holder: wrong}),
      odd({standbys: [wrong]}),
      odd({relays: [wrong]}),
      odd({
        replicas: {
          version: 'v',
          replicas: [{address: wrong, failureDomain: 'hall-a'}],
        },
      }),
      {kind: 'not-holder', holderAddress: wrong},
    ]) {
      handlers.exchange = () => answer;
      await expect(client.exchange(INPUT)).rejects.toThrow();
    }
  });

  // Guards against state that one odd number changes for good.
  it.each(ODD_NUMBERS)('is an error with the number %d', async wrong => {
    for (const answer of [
      odd({ageMs: wrong}),
      odd({configVersion: wrong}),
      odd({runnersChange: wrong}),
      odd({entries: wrong}),
      odd({loadAgesMs: [wrong]}),
      odd({copiesInMs: {m1: wrong}}),
      odd({peersWork: {'i-1': wrong}}),
      odd({ejectedForMs: {'i-1': wrong}}),
      odd({
        usage: {claims: {left: wrong, freedPerSecond: 1, askedPerSecond: 2}},
      }),
      odd({runnerSpeeds: {'i-1': [wrong, 0]}}),
    ]) {
      handlers.exchange = () => answer;
      await expect(client.exchange(INPUT)).rejects.toThrow();
    }
  });
});

describe('the exchange of a peer', () => {
  it.each(ODD_ADDRESSES)('is refused with the address %j', async wrong => {
    handlers.exchange = () => OUTPUT;
    const [member] = INPUT.members;
    for (const input of [
      {...INPUT, entry: wrong},
      {...INPUT, members: [{...member!, address: wrong}]},
    ]) {
      await expect(client.exchange(input)).rejects.toThrow();
    }
  });

  it.each(ODD_NUMBERS)('is refused with the number %d', async wrong => {
    handlers.exchange = () => OUTPUT;
    for (const input of [
      {...INPUT, configVersion: wrong},
      {...INPUT, runnersChange: wrong},
      {...INPUT, rateLimits: [{runnerId: 'i-1', ageMs: wrong}]},
    ]) {
      await expect(client.exchange(input)).rejects.toThrow();
    }
  });

  // Guards against an entry that is cut off from the holder by one amount, and
  // against that amount in the sums over all entries.
  it.each(ODD_NUMBERS)('counts as nothing with the amount %d', async wrong => {
    const received: ExchangeInput[] = [];
    handlers.exchange = input => {
      received.push(input as ExchangeInput);
      return OUTPUT;
    };
    const usage = [{organisation: 'claims', asked: 1, used: wrong}];
    await client.exchange({
      ...INPUT,
      openWork: {'i-1': wrong, 'i-2': 3},
      batch: {...INPUT.batch, usage},
    });
    expect(received[0]?.openWork).toEqual({'i-1': 0, 'i-2': 3});
    expect(received[0]?.batch.usage).toEqual([
      {organisation: 'claims', asked: 1, used: 0},
    ]);
  });
});

describe('the other answers of a peer', () => {
  // Guards against waits and tokens that have no end, by a number that is odd.
  it('are errors if they are odd', async () => {
    handlers.requestRetries = () => ({granted: 1, retryAfterMs: 1e300});
    await expect(
      client.requestRetries({service: 's', count: 1, isForwarded: false}),
    ).rejects.toThrow();
    handlers.ensureAdapter = () => null;
    const adapter = {runnerId: 'i-1', model: 'm', adapter: 'a'};
    await expect(client.ensureAdapter(adapter)).rejects.toThrow();
    handlers.permitTrial = () => ({runnerId: 5});
    const trial = {fingerprint: 'f', runnerIds: [], forMs: 1};
    await expect(client.permitTrial(trial)).rejects.toThrow();
  });

  it('are no answer to a single call if they are odd', async () => {
    const successor = {generation: 1, address: OWN};
    handlers.lastOrder = () => ({agoMs: 1e300, isOver: false});
    expect(await fetchLastOrder(address, successor, TIMEOUT_MS)).toBe(
      undefined,
    );
    handlers.lastOrder = () => ({agoMs: 12.5, upMs: 1, isOver: false});
    expect(await fetchLastOrder(address, successor, TIMEOUT_MS)).toEqual({
      agoMs: 12.5,
      upMs: 1,
      isOver: false,
    });
  });
});

// Guards against a process that ends by itself at a call to what isn't an
// address.
describe('a single call to what is not an address', () => {
  it.each(ODD_ADDRESSES)('has no answer: %j', async wrong => {
    const successor = {generation: 1, address: OWN};
    const input = {requestIds: []};
    expect([
      await fetchLastOrder(wrong, successor, TIMEOUT_MS),
      await fetchPeerConfig(wrong, TIMEOUT_MS),
      await fetchOrigins(wrong, input, TIMEOUT_MS),
    ]).toEqual([undefined, undefined, undefined]);
    // Nobody there can have taken the lease.
    expect(await offerLease(wrong, HANDOVER, TIMEOUT_MS)).toBe(false);
  });
});
