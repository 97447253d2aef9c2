import {describe, expect, it} from 'vitest';
import {
  decodeOriginBatch,
  encodeOriginBatch,
  originDigest,
} from '../streams/originBatch.js';

describe('encodeOriginBatch', () => {
  it('keeps the version of each stream', () => {
    const origins = [
      {requestId: 's1', service: 'drafting', version: 'v1'},
      {requestId: 's2', service: 'drafting', version: ''},
      {requestId: 's3', service: 'drafting', version: 'v1'},
      {requestId: 's4', service: 'letters', version: 'v1'},
    ];
    const batch = {atMs: 5, origins};
    const decoded = decodeOriginBatch(encodeOriginBatch(batch))!;
    expect(decoded.atMs).toBe(5);
    const byDigest = (list: typeof origins) =>
      [...list].sort((a, b) => (a.requestId < b.requestId ? -1 : 1));
    const expected = origins.map(origin => ({
      ...origin,
      requestId: originDigest(origin.requestId),
    }));
    expect(byDigest([...decoded.origins])).toEqual(byDigest(expected));
  });

  it('takes 11 bytes for a stream', () => {
    const origins = Array.from({length: 3_000}, (_, i) => ({
      requestId: `s${i}`,
      service: 'drafting',
      version: 'v1',
    }));
    const {length} = encodeOriginBatch({atMs: 5, origins});
    expect(length / origins.length).toBeLessThan(11);
  });
});

describe('decodeOriginBatch', () => {
  // Guards against an entry that ends by what another writer left in the topic.
  it.each([
    '',
    'no json',
    '{}',
    'null',
    '[]',
    '{"atMs":1,"rows":[["v1"]]}',
    '{"atMs":-1e999,"rows":[]}',
    '{"atMs":1,"rows":[[1,"v1","AAAAAAAAAAA="]]}',
    '{"atMs":1,"rows":[["drafting","v1","#"]]}',
    '['.repeat(5_000),
  ])('ignores bytes of another writer: %.20s', text => {
    expect(decodeOriginBatch(Buffer.from(text))).toBeUndefined();
  });

  it('ignores an incomplete digest', () => {
    const text = '{"atMs":1,"rows":[["drafting","v1","AAAA"]]}';
    const decoded = decodeOriginBatch(Buffer.from(text));
    expect(decoded).toEqual({atMs: 1, origins: []});
  });
});
