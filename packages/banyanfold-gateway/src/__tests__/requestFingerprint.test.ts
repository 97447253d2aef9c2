import {describe, expect, it} from 'vitest';
import {
  fingerprintOf,
  partFingerprint,
  sharedPartFingerprints,
} from '../crashes/requestFingerprint.js';

function partsOf(...ids: string[]) {
  return ids.map(partId => ({partId, tokens: 1}));
}

describe('sharedPartFingerprints', () => {
  it('leaves out the last part, which is the request’s own', () => {
    expect(sharedPartFingerprints(partsOf('a1', 'b2', 'own'))).toEqual([
      'part/a1',
      'part/b2',
    ]);
    expect(sharedPartFingerprints(partsOf('own'))).toEqual([]);
    expect(sharedPartFingerprints([])).toEqual([]);
  });

  it('names a part once', () => {
    expect(sharedPartFingerprints(partsOf('a', 'a', 'own'))).toEqual([
      'part/a',
    ]);
  });

  // Guards against log lines and reports that grow with what callers send.
  it('bounds the length of ids and the number of parts', () => {
    const long = 'x'.repeat(5_000);
    expect(partFingerprint(long)).toMatch(/^part\/~[0-9a-f]{16}$/);
    expect(partFingerprint('a+b')).toMatch(/^part\/~[0-9a-f]{16}$/);
    const many = Array.from({length: 500}, (_, i) => `p${i}`);
    expect(sharedPartFingerprints(partsOf(...many))).toHaveLength(32);
  });
});

describe('fingerprintOf', () => {
  const content = {
    method: 'POST',
    host: 'a',
    target: '/x',
    model: 'm1',
    promptParts: partsOf('a1', 'own'),
    body: Buffer.from('body'),
  };

  // Guards against blaming all requests that have the same body.
  it('differs between requests with other models or prompts', () => {
    const others = [
      {...content, model: 'm2'},
      {...content, model: undefined},
      {...content, promptParts: partsOf('a1', 'other')},
      {...content, promptParts: []},
    ];
    const all = [content, ...others].map(fingerprintOf);
    expect(new Set(all).size).toBe(5);
    expect(fingerprintOf({...content})).toBe(all[0]);
  });
});
