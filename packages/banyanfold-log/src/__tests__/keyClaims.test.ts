import type {VirtualClock} from '@banyanfold/core';
import {describe, expect, it} from 'vitest';
import {ClaimsFold} from '../claimsFold.js';
import {KeyClaims} from '../keyClaims.js';
import {FakeLog, PausableLog} from './fakeLog.js';
import {createTestDependencies, keyMadeAt, settle} from './testKit.js';

const RETENTION_MS = 20_000;
const WINDOW = {horizonMs: 12_000, maxAheadMs: 2_000};

function createFixture() {
  const dependencies = createTestDependencies();
  const log = new FakeLog(dependencies.clock, RETENTION_MS);
  const startProcess = (owner: string) => {
    const gate = new PausableLog(log);
    const options = {...dependencies, ...WINDOW, retentionMs: RETENTION_MS};
    const claims = new KeyClaims({...options, log: gate, owner});
    claims.start();
    return {gate, claims};
  };
  return {...dependencies, log, startProcess};
}

async function claim(clock: VirtualClock, claims: KeyClaims, key: string) {
  const result = await settle(clock, claims.claim(key));
  return result.match(
    outcome => JSON.stringify(outcome),
    ({code}) => code,
  );
}

describe('KeyClaims.claim', () => {
  it('returns the outcome to a second caller, without a large body', async () => {
    const {clock, startProcess} = createFixture();
    const [a, b] = [startProcess('a').claims, startProcess('b').claims];
    const keys = [1, 2].map(serial => keyMadeAt(clock.wallMs(), serial));
    const seen: string[] = [];
    for (const [key, length] of [
      [keys[0]!, 4],
      [keys[1]!, 20_000],
    ] as const) {
      seen.push(await claim(clock, a, key));
      seen.push(await claim(clock, b, key.toUpperCase()));
      await settle(
        clock,
        a.finish(key, {status: 201, body: 'x'.repeat(length)}),
      );
      await clock.advance(100);
      seen.push(await claim(clock, b, key), await claim(clock, a, key));
    }
    expect(seen).toMatchInlineSnapshot(`
      [
        "{"kind":"owner","claimOffset":1}",
        "{"kind":"taken","ownedBySelf":false}",
        "{"kind":"taken","finished":{"status":201,"body":"xxxx"},"ownedBySelf":false}",
        "{"kind":"taken","finished":{"status":201,"body":"xxxx"},"ownedBySelf":true}",
        "{"kind":"owner","claimOffset":4}",
        "{"kind":"taken","ownedBySelf":false}",
        "{"kind":"taken","finished":{"status":201},"ownedBySelf":false}",
        "{"kind":"taken","finished":{"status":201},"ownedBySelf":true}",
      ]
    `);
  });

  it.each([
    ['not a key', 'key-not-uuidv7'],
    ['0190d9a2-7b00-4000-8000-000000000000', 'key-not-uuidv7'],
    [keyMadeAt(1_700_000_000_000 - 12_500), 'key-too-old'],
    [keyMadeAt(1_700_000_000_000 + 2_500), 'key-from-future'],
  ])('refuses %s as %s', async (key, code) => {
    const {clock, log, startProcess} = createFixture();
    const {claims} = startProcess('a');
    expect(await claim(clock, claims, key)).toBe(code);
    expect(log.calls.append).toBe(0);
  });

  /*
   * The caller is refused because the response to the append was lost and the
   * claim is not in the log. The claim is then appended late and owns the key.
   * The owner must not dispatch, because the caller was refused, and unless it
   * releases the key, the caller can never retry.
   */
  it('releases an abandoned claim that is appended late', async () => {
    const {clock, log, startProcess} = createFixture();
    const [a, b] = [startProcess('a').claims, startProcess('b').claims];
    const key = keyMadeAt(clock.wallMs());
    await clock.advance(50);
    log.faults.push('late');
    expect(await claim(clock, a, key)).toBe('log-unavailable');
    await clock.advance(2_000);
    expect(await claim(clock, b, key)).toContain('owner');
  });

  /*
   * Process a ran the key. Process b's claim is appended, but its reads are
   * blocked until the log has trimmed a's claim, so that its own claim is the
   * first that it reads. Treating that as ownership would run the key twice.
   */
  it('refuses a key whose first claim it may have missed', async () => {
    const {clock, startProcess} = createFixture();
    const [a, b] = [startProcess('a'), startProcess('b')];
    const key = keyMadeAt(clock.wallMs());
    await clock.advance(50);
    b.gate.holdReads();
    expect(await claim(clock, a.claims, key)).toContain('owner');
    await clock.advance(8_000);
    const late = b.claims.claim(key);
    await clock.advance(RETENTION_MS - 7_000);
    b.gate.resume();
    const result = await settle(clock, late);
    expect(result._unsafeUnwrapErr().code).toBe('key-too-old');
  });

  it('drops keys past the horizon', async () => {
    const {clock, startProcess} = createFixture();
    const {claims} = startProcess('a');
    for (let serial = 0; serial < 50; serial++) {
      await claim(clock, claims, keyMadeAt(clock.wallMs(), serial));
      await clock.advance(1_000);
    }
    expect(claims.keyCount).toBeLessThan(20);
  });

  it('refuses a window that the log does not outlast', () => {
    const log = new FakeLog(createTestDependencies().clock);
    const options = {...createTestDependencies(), ...WINDOW, log, owner: 'a'};
    expect(() => new KeyClaims({...options, retentionMs: 14_000})).toThrow(
      'lower horizonMs',
    );
  });
});

describe('ClaimsFold.apply', () => {
  const key = keyMadeAt(1_000_000);
  const claimBy = (owner: string) => ({
    kind: 'claim',
    key,
    owner,
    nonce: owner,
    atKeyMs: 1_000_000,
  });
  const released = (claimOffset: number) => ({
    kind: 'released',
    key,
    claimOffset,
  });
  const finished = {kind: 'finished', key, owner: 'a', status: 200};

  it.each([
    ['the first owns', [claimBy('a'), claimBy('b')], 'owner taken'],
    ['released', [claimBy('a'), released(1), claimBy('b')], 'owner owner'],
    [
      'released twice, the second time after the next owner',
      [claimBy('a'), released(1), claimBy('b'), released(1), claimBy('c')],
      'owner owner taken',
    ],
    [
      'released by one who does not own it',
      [claimBy('a'), claimBy('b'), released(2), claimBy('c')],
      'owner taken taken',
    ],
    [
      'released after it ran',
      [claimBy('a'), finished, released(1), claimBy('b')],
      'owner taken',
    ],
    ['run by a claim that was missed', [finished, claimBy('b')], 'taken'],
    ['junk', ['x', null, {kind: 'claim'}, claimBy('a')], 'owner'],
  ])('%s', (_name, values, verdicts) => {
    const fold = new ClaimsFold(WINDOW);
    const seen = values.flatMap((value, index) => {
      const record = {offset: index + 1, appendedAtMs: 1_000_500, value};
      return fold.apply(record)?.verdict.kind ?? [];
    });
    expect(seen.join(' ')).toBe(verdicts);
  });
});
