import {EventEmitter} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {Metrics} from '@banyanfold/core';
import {beforeEach, describe, expect, it} from 'vitest';
import {RequestTurns, type Exchange} from '../requests/requestTurns.js';
import {RequestPlaces} from '../resources/requestPlaces.js';

const MAX_AHEAD = 3;
const MAX_REQUESTS = 8;

class FakeSocket extends EventEmitter {
  destroyed = false;

  destroy(): void {
    this.destroyed = true;
    this.emit('close');
  }
}

class FakeResponse extends EventEmitter {
  constructor(public socket: FakeSocket | null) {
    super();
  }
}

let turns: RequestTurns;
let handled: Exchange[];
let refused: Exchange[];
let discards: string[];
let places: RequestPlaces;

beforeEach(() => {
  handled = [];
  refused = [];
  discards = [];
  places = new RequestPlaces({
    metrics: new Metrics(),
    maxRequests: MAX_REQUESTS,
  });
  turns = new RequestTurns({
    maxAhead: MAX_AHEAD,
    places,
    handle: exchange => handled.push(exchange),
    refuse: exchange => refused.push(exchange),
    onDiscard: reason => discards.push(reason),
  });
});

function send(socket: FakeSocket, count = 1): FakeResponse[] {
  return Array.from({length: count}, () => {
    const response = new FakeResponse(socket);
    turns.add({
      request: {socket: socket as unknown as Socket} as IncomingMessage,
      response: response as unknown as ServerResponse,
      readMs: 0,
    });
    return response;
  });
}

/** Number of places that are left for first requests. */
function freePlaces(): number {
  let count = 0;
  while (places.take(false)) count += 1;
  for (let i = 0; i < count; i++) places.free();
  return count;
}

describe('RequestTurns', () => {
  // Guards against one connection that takes any number of runners.
  it('handles the requests of a connection one after another', () => {
    const responses = send(new FakeSocket(), 3);
    expect(handled).toHaveLength(1);
    responses[0]!.emit('close');
    expect(handled).toHaveLength(2);
    responses[1]!.emit('close');
    expect(handled.map(({response}) => response)).toEqual(responses);
  });

  it('handles the requests of several connections at the same time', () => {
    for (let i = 0; i < 3; i++) send(new FakeSocket());
    expect(handled).toHaveLength(3);
  });

  // Guards against a response that is cut off because of what follows it.
  it('closes a connection with too many after its current response', () => {
    const socket = new FakeSocket();
    const [first] = send(socket, MAX_AHEAD + 2);
    expect(discards).toEqual(['requests-ahead']);
    expect(socket.destroyed).toBe(false);
    first!.emit('close');
    expect(socket.destroyed).toBe(true);
    expect(handled).toHaveLength(1);
    expect(freePlaces()).toBe(MAX_REQUESTS);
  });

  // Guards against a caller that sends without end beside a long response.
  it('closes a connection at once that goes on for long', () => {
    const socket = new FakeSocket();
    send(socket, 20_000);
    expect(socket.destroyed).toBe(true);
    expect(freePlaces()).toBe(MAX_REQUESTS);
  });

  // Guards against requests that wait and keep others from being served.
  it('leaves places to the first requests of other connections', () => {
    send(new FakeSocket(), MAX_AHEAD + 1);
    send(new FakeSocket(), MAX_AHEAD + 1);
    expect(discards).toEqual(['no-place']);
    expect(refused).toEqual([]);
    expect(freePlaces()).toBeGreaterThan(0);
    send(new FakeSocket());
    expect(handled).toHaveLength(3);
  });

  it('refuses a first request that there is no place for', () => {
    for (let i = 0; i < MAX_REQUESTS; i++) send(new FakeSocket());
    const socket = new FakeSocket();
    send(socket, 2);
    expect(refused).toHaveLength(1);
    expect(handled).toHaveLength(MAX_REQUESTS);
  });

  // Guards against a request that runs although its caller can't be answered.
  it('drops requests behind a response that closes the connection', () => {
    const [first, second] = send(new FakeSocket(), 2);
    second!.socket = null;
    first!.emit('close');
    expect(handled).toHaveLength(1);
  });

  // Guards against places that are never free again.
  it('frees the places of a connection that is closed', () => {
    const socket = new FakeSocket();
    const [first] = send(socket, MAX_AHEAD + 1);
    socket.destroy();
    first!.emit('close');
    expect(freePlaces()).toBe(MAX_REQUESTS);
    expect(handled).toHaveLength(1);
  });
});
