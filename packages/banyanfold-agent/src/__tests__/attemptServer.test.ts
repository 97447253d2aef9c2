import {Readable} from 'node:stream';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {MemoryLogger, Metrics} from '@banyanfold/core';
import {HEADERS} from '@banyanfold/protocol';
import type {Dispatcher} from 'undici';
import {describe, expect, it, vi} from 'vitest';
import type {AttemptContext} from '../attempts/attemptContext.js';
import {AttemptServer} from '../attempts/attemptServer.js';
import {runServiceAttempt} from '../attempts/serviceAttempt.js';

vi.mock('../attempts/serviceAttempt.js', async importOriginal => ({
  ...(await importOriginal<object>()),
  runServiceAttempt: vi.fn(),
}));

const MAX_CALLS = 2;

let logger: MemoryLogger;

function createServer(): AttemptServer {
  logger = new MemoryLogger();
  const registry = {
    isSealed: () => false,
    begin: () => 'new',
    isWaiting: () => true,
    onSeal: () => {},
    dispatch: () => {},
    refuse: () => {},
    seal: () => {},
  };
  const context = {
    registry,
    settings: {
      maxBodyBytes: 100,
      maxServiceCalls: MAX_CALLS,
      services: [{name: 'desk', url: 'http://127.0.0.1:1/'}],
    },
    isOwnIncarnation: () => true,
    isLeaving: () => false,
    logger,
    metrics: new Metrics(),
    loadHeader: () => '',
  };
  return new AttemptServer(
    context as unknown as AttemptContext,
    {} as Dispatcher,
  );
}

function callDesk(
  server: AttemptServer,
  {body = '{}', complete = true} = {},
): Promise<void> {
  const request = Object.assign(Readable.from([Buffer.from(body)]), {
    headers: {
      [HEADERS.attemptId]: 'a1',
      [HEADERS.requestId]: 'r1',
      [HEADERS.incarnation]: '1',
    },
    complete,
  });
  const response = {on: () => {}, writeHead: () => {}, end: () => {}};
  return server.handle(
    'services/desk/cases',
    request as unknown as IncomingMessage,
    response as unknown as ServerResponse,
  );
}

describe('AttemptServer', () => {
  // Guards against calls that are refused for good after some have failed.
  it('no longer counts a call of a service that failed inside', async () => {
    const server = createServer();
    vi.mocked(runServiceAttempt).mockRejectedValue(new Error('a defect'));
    for (let i = 0; i < MAX_CALLS; i++) {
      await expect(callDesk(server)).rejects.toThrow('a defect');
    }
    vi.mocked(runServiceAttempt).mockClear().mockResolvedValue();
    await callDesk(server);
    expect(runServiceAttempt).toHaveBeenCalledTimes(1);
  });

  // Guards against an operator who looks for a large body that there was not.
  it.each([
    ['broke off', {complete: false}, 'bad-request'],
    ['is too large', {body: 'x'.repeat(101)}, 'body-too-large'],
  ])('names the reason if a body %s', async (_what, request, code) => {
    await callDesk(createServer(), request);
    expect(logger.lines.join()).toContain(`code=${code}`);
  });
});
