import {prefixHashes, renderPrompt} from '@banyanfold/standins';
import {describe, expect, it} from 'vitest';
import {parseCompletion, prefixHashOf} from '../requests/parseRequest.js';

/** The engines' first cache block: 256 tokens of four characters. */
const BLOCK_TOKENS = 256;
const ARTIFACT = 'claims@3';
const LONG = 'The tenancy began in March and the rent is paid weekly. '.repeat(
  40,
);

const REQUESTS = {
  'a chat': {messages: [{role: 'system', content: LONG}]},
  'a chat of several messages': {
    messages: [
      {role: 'system', content: LONG.slice(0, 500)},
      {role: 'user', content: LONG},
    ],
  },
  'a chat with parts': {
    messages: [{role: 'user', content: [{type: 'text', text: LONG}]}],
  },
  'a completion': {prompt: LONG},
};

describe('prefixHashOf', () => {
  // Seen failing before the hash was taken over what the engine hashes: a
  // request for a cached prefix looked uncached everywhere, and an eviction
  // that the engine told of was never noticed.
  it.each(Object.entries(REQUESTS))('is the engine’s for %s', (_, request) => {
    const prompt =
      'prompt' in request ? request.prompt : renderPrompt(request.messages);
    const [expected] = prefixHashes(ARTIFACT, prompt, BLOCK_TOKENS);
    const body = Buffer.from(JSON.stringify({model: 'claims', ...request}));
    const {prefixText} = parseCompletion(body);
    expect(prefixHashOf(ARTIFACT, prefixText)).toBe(expected);
  });

  it('is empty for a prompt shorter than a block', () => {
    const body = Buffer.from(JSON.stringify({model: 'claims', prompt: 'hi'}));
    expect(prefixHashOf(ARTIFACT, parseCompletion(body).prefixText)).toBe('');
  });
});
