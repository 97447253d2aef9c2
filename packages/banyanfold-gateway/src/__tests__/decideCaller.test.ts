import {describe, expect, it} from 'vitest';
import {decideCaller, type CallerView} from '../callers/decideCaller.js';
import {keyDigestOf} from '../callers/keyDigest.js';
import {OrganisationDirectory} from '../callers/organisationDirectory.js';

const CLAIMS = {name: 'claims', keyDigests: [keyDigestOf('k1')]};
const KNOWN: CallerView = {
  directory: new OrganisationDirectory([CLAIMS]),
  isPublic: false,
  keyDigest: keyDigestOf('k1'),
  isConfigStale: false,
  isConfigConfirmed: true,
};

describe('decideCaller', () => {
  it.each<[string, Partial<CallerView>]>([
    ['a known key', {}],
    ['no key', {keyDigest: undefined}],
    ['an unknown key', {keyDigest: keyDigestOf('k2')}],
    ['no key on a public route', {keyDigest: undefined, isPublic: true}],
    ['an unknown key on a public route', {keyDigest: 'x', isPublic: true}],
    ['no key where none is required', {directory: undefined}],
    ['a key by an outdated configuration', {isConfigStale: true}],
    [
      'an unknown key by an unconfirmed configuration',
      {keyDigest: keyDigestOf('k2'), isConfigConfirmed: false},
    ],
    ['a known key by an unconfirmed configuration', {isConfigConfirmed: false}],
    [
      'a public route by an outdated configuration',
      {isConfigStale: true, isPublic: true},
    ],
  ])('%s', (_name, fields) => {
    expect(decideCaller({...KNOWN, ...fields})).toMatchSnapshot();
  });
});
