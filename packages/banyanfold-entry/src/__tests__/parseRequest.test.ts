import {describe, expect, it} from 'vitest';
import {ApiError} from '../http/apiErrors.js';
import {parseCompletion} from '../requests/parseRequest.js';

const RANGE = 'must be a whole number from 1 to 2147483647';

function parse(fields: string) {
  return parseCompletion(Buffer.from(`{"model":"claims",${fields}}`));
}

function errorOf(fields: string): ApiError {
  try {
    parse(fields);
  } catch (thrown) {
    if (thrown instanceof ApiError) return thrown;
  }
  throw new Error('accepted');
}

describe('parseCompletion', () => {
  // Guards against a number of tokens that no runner can hold, which would be
  // counted as needed memory at each runner it is sent to.
  it.each(['-1', '0', '1.5', '1e300', '1e15', '2147483648', '"40"', '[]'])(
    'rejects max_tokens %s with the field and its range',
    value => {
      for (const field of ['max_tokens', 'max_completion_tokens']) {
        const {status, message} = errorOf(`"${field}":${value}`);
        expect(status).toBe(400);
        expect(message).toBe(`${field}: ${RANGE}`);
      }
    },
  );

  it.each([
    ['1', 1],
    ['2147483647', 2_147_483_647],
    ['null', 512],
  ])('accepts max_tokens %s', (value, maxTokens) => {
    expect(parse(`"max_tokens":${value}`).maxTokens).toBe(maxTokens);
  });
});
