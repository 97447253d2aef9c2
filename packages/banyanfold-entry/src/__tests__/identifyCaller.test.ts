import type {IncomingMessage} from 'node:http';
import {describe, expect, it} from 'vitest';
import {HEADERS} from '@banyanfold/protocol';
import {identifyCaller} from '../requests/acceptRequest.js';

const CALLER = {
  name: 'phone',
  key: 'k',
  desk: 'phone',
  otherDesks: ['drafting'],
  maxConcurrent: 1,
};

function identify(desk: string | undefined) {
  const headers = {authorization: 'Bearer k', [HEADERS.desk]: desk};
  return () => identifyCaller({headers} as unknown as IncomingMessage, CALLER);
}

describe('identifyCaller', () => {
  it.each([
    ['its own desk when it names none', undefined, 'phone'],
    ['its own desk', 'phone', 'phone'],
    ['a desk that its settings list', 'drafting', 'drafting'],
  ])('accepts %s', (_, named, desk) => {
    expect(identify(named)()).toEqual({
      caller: 'phone',
      desk,
      headers: named ? {[HEADERS.desk]: named} : {},
    });
  });

  // A caller of the phone desk names the counter in a header. Accepting it
  // would give the caller the counter's models at the counter's priority.
  it('refuses a desk that its settings do not list', () => {
    expect(identify('counter')).toThrow('may not ask for the desk "counter"');
  });
});
