import {describe, expect, it} from 'vitest';
import {z} from 'zod';
import {parseJsonWithComments, renderProblems} from '../jsonWithComments.js';

const schema = z.strictObject({
  port: z.number(),
  callers: z.array(z.strictObject({key: z.string()})).default([]),
});

const CASES: Array<{name: string; text: string}> = [
  {name: 'a missing comma', text: '{\n  "port": 1\n  "callers": []\n}'},
  {name: 'a wrong type', text: '{\n  // where\n  "port": "80"\n}'},
  {name: 'an unknown field', text: '{"port": 1, "prot": 2}'},
  {name: 'a field deep inside', text: '{"port": 1, "callers": [{"key": 3}]}'},
  {name: 'an empty file', text: ''},
];

describe('parseJsonWithComments', () => {
  it.each(CASES)('locates $name', ({text}) => {
    const result = parseJsonWithComments('entry.jsonc', text, schema);
    expect(renderProblems(result._unsafeUnwrapErr())).toMatchSnapshot();
  });

  it('accepts comments and trailing commas', () => {
    const text = '{\n  // the port\n  "port": 8400,\n}';
    const result = parseJsonWithComments('entry.jsonc', text, schema);
    expect(result._unsafeUnwrap()).toEqual({port: 8400, callers: []});
  });
});
