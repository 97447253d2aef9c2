import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {TestSystem, post} from './kit/testSystem.js';

const KEY = '01938f00-0000-7000-8000-000000000000';
const HOP_HEADERS = /^(host|connection|content-length|transfer-encoding)$/;

const system = new TestSystem();
let port = 0;

beforeAll(async () => {
  await system.start();
  port = await system.startReadyEntry({
    keyHorizonMs: Number.MAX_SAFE_INTEGER / 4,
    logRetentionMs: Number.MAX_SAFE_INTEGER / 2,
  });
});
afterAll(() => system.stop());

/** Replaces the values that differ between runs. */
function normalizeHeaders(headers: NodeJS.Dict<string | string[]>) {
  const kept = Object.entries(headers).filter(([n]) => !HOP_HEADERS.test(n));
  const shown = kept.map(([name, value]) => {
    if (name.endsWith('-budget-ms')) return [name, Number(value) > 0];
    return /-(attempt|request)-id$/.test(name) ? [name, 'uuid'] : [name, value];
  });
  return Object.fromEntries(shown.sort());
}

describe('createEntry, the headers of an attempt', () => {
  it.each([
    ['a model', '/v1/chat/completions', {}],
    ['a service', '/services/lodging/a/b?c=1', {'idempotency-key': KEY}],
  ])('for %s', async (_name, path, headers) => {
    await post(port, path, {headers});
    const call = system.agents[0]!.calls.splice(0)[0]!;
    expect([call.path, normalizeHeaders(call.headers)]).toMatchSnapshot();
  });
});
