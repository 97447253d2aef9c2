import {prefixHashes, renderPrompt} from '@banyanfold/standins';
import {describe, expect, it} from 'vitest';
import {parseCompletion, prefixHashOf} from '../requests/parseRequest.js';

/** The engines' first cache block: 256 tokens of four characters. */
const BLOCK_TOKENS = 256;
const ARTIFACT = 'claims@3';
const LONG_TEXT =
  'The tenancy began in March and the rent is paid weekly. '.repeat(40);

const REQUESTS = {
  'a chat': {messages: [{role: 'system', content: LONG_TEXT}]},
  'a chat of several messages': {
    messages: [
      {role: 'system', content: LONG_TEXT.slice(0, 500)},
      {role: 'user', content: LONG_TEXT},
    ],
  },
  'a chat with parts': {
    messages: [{role: 'user', content: [{type: 'text', text: LONG_TEXT}]}],
  },
  'a completion': {prompt: LONG_TEXT},
};

describe('prefixHashOf', () => {
  // Guards against hashing other text than the engine does. A request for a
  // cached prefix then looks uncached on every agent, and an eviction reported
  // by the engine goes unnoticed.
  it.each(Object.entries(REQUESTS))(
    'equals the hash of the engine for %s',
    (_, request) => {
      const prompt =
        'prompt' in request ? request.prompt : renderPrompt(request.messages);
      const [expected] = prefixHashes(ARTIFACT, prompt, BLOCK_TOKENS);
      const body = Buffer.from(JSON.stringify({model: 'claims', ...request}));
      const {prefixText} = parseCompletion(body);
      expect(prefixHashOf(ARTIFACT, prefixText)).toBe(expected);
    },
  );

  it('is empty for a prompt shorter than a block', () => {
    const body = Buffer.from(JSON.stringify({model: 'claims', prompt: 'hi'}));
    expect(prefixHashOf(ARTIFACT, parseCompletion(body).prefixText)).toBe('');
  });
});
