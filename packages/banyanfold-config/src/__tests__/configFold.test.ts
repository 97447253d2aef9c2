import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ConfigFold, type ConfigLogRecord} from '../configFold.js';
import {publishedConfigSchema} from '../types.js';

const SEED = 20_262;
const RUNS = 3_000;

function bodyOf(serial: number) {
  const service = {name: `service-${serial}`};
  return publishedConfigSchema.parse({services: [service]});
}

function publish(baseVersion: number, serial: number) {
  const nonce = `nonce-${serial}`;
  const body = bodyOf(serial);
  return {kind: 'publish', baseVersion, nonce, publisher: 'ana', body};
}

/** One fails the schema, the other names a group that isn't there. */
const INVALID_BODIES = [
  {models: 'many'},
  {selectors: [{name: 'lost', group: 'none'}]},
];

/** How a record comes about; versions and checkpoints depend on the log. */
type Draft =
  | {kind: 'publish'; versionsBack: number; invalidBody: unknown}
  | {kind: 'checkpoint'; foldedBack: number}
  | {kind: 'junk'; value: unknown};

const draftArbitrary: fc.Arbitrary<Draft> = fc.oneof(
  fc.record({
    kind: fc.constant('publish' as const),
    versionsBack: fc.constantFrom(0, 0, 0, 1, 2),
    invalidBody: fc.constantFrom(undefined, undefined, ...INVALID_BODIES),
  }),
  fc.record({
    kind: fc.constant('checkpoint' as const),
    foldedBack: fc.nat({max: 4}),
  }),
  fc.record({
    kind: fc.constant('junk' as const),
    value: fc.constantFrom(null, 7, {kind: 'publish'}, {kind: 'checkpoint'}),
  }),
);

interface Truth {
  records: ConfigLogRecord[];
  /** The version after each offset; 0 before the first. */
  versions: number[];
  snapshots: unknown[];
}

/** Builds the log, with a plain statement of the rule beside the fold. */
function buildTruth(drafts: Draft[]): Truth {
  const records: ConfigLogRecord[] = [];
  const versions = [0];
  const snapshots: unknown[] = [undefined];
  const accepted = [0];
  drafts.forEach((draft, index) => {
    const offset = index + 1;
    let version = accepted.at(-1)!;
    let value: unknown = draft.kind === 'junk' ? draft.value : undefined;
    if (draft.kind === 'checkpoint') {
      const at = Math.max(0, index - draft.foldedBack);
      value = {kind: 'checkpoint', ...(snapshots[at] as object | undefined)};
    }
    if (draft.kind === 'publish') {
      const base = accepted.at(-1 - draft.versionsBack) ?? 0;
      const {invalidBody} = draft;
      const body = invalidBody ?? bodyOf(offset);
      value = {...publish(base, offset), body};
      if (base === version && !invalidBody) version = offset;
    }
    if (version !== accepted.at(-1)) accepted.push(version);
    records.push({offset, value});
    versions.push(version);
    const body = bodyOf(version);
    const snapshot = {version, foldedThrough: offset, body};
    snapshots.push(version === 0 ? undefined : snapshot);
  });
  return {records, versions, snapshots};
}

/** What a reader does: read on, lose some records, or hear from a peer. */
type Move = {kind: 'read' | 'lose' | 'restore'; count: number};

const moveArbitrary: fc.Arbitrary<Move> = fc.record({
  kind: fc.constantFrom('read', 'read', 'read', 'lose', 'restore'),
  count: fc.nat({max: 6}),
});

function checkAgainst(fold: ConfigFold, {versions, snapshots}: Truth): void {
  const {state, foldedThrough} = fold;
  expect(state?.version ?? 0).toBe(versions[foldedThrough]);
  expect(state).toEqual(snapshots[foldedThrough]);
}

/*
 * Operators race, and their records carry old bases, invalid bodies or junk;
 * checkpoints were folded through some earlier offset. Readers begin anywhere,
 * lose records to the retention, and hear from peers ahead of or behind them.
 * At each step a reader's state must be the true one as of the offset that it
 * claims to have folded through, and its version must never go back.
 */
describe('ConfigFold', () => {
  it(`agrees with the log and never reverts (seed ${SEED}, ${RUNS} runs)`, () => {
    const met = {recovered: 0, waiting: 0};
    fc.assert(
      fc.property(
        fc.array(draftArbitrary, {minLength: 10, maxLength: 40}),
        fc.array(moveArbitrary, {maxLength: 40}),
        (drafts, moves) => {
          const truth = buildTruth(drafts);
          const fold = new ConfigFold();
          let position = 1;
          let lastVersion = 0;
          let lastFolded = 0;
          for (const {kind, count} of moves) {
            const wasWaiting = fold.needsBase;
            const endOffset = truth.records.length + 1;
            if (kind === 'lose') {
              position = Math.min(endOffset, position + count);
            }
            if (kind === 'restore') {
              fold.restore(truth.snapshots[position + count - 3]);
            }
            if (kind === 'read') {
              fold.detectGap(position);
              for (const record of truth.records.slice(
                position - 1,
                position - 1 + count,
              )) {
                fold.apply(record);
                position = record.offset + 1;
              }
            }
            checkAgainst(fold, truth);
            const version = fold.state?.version ?? 0;
            expect(version).toBeGreaterThanOrEqual(lastVersion);
            expect(fold.foldedThrough).toBeGreaterThanOrEqual(lastFolded);
            lastVersion = version;
            lastFolded = fold.foldedThrough;
            if (fold.needsBase) met.waiting++;
            if (wasWaiting && !fold.needsBase) met.recovered++;
          }
        },
      ),
      {seed: SEED, numRuns: RUNS},
    );
    // Gaps and recoveries must both have been met, or nothing was tested.
    expect(Math.min(met.recovered, met.waiting)).toBeGreaterThan(100);
  });

  it('says of two racing publishers that the second is void', () => {
    const fold = new ConfigFold();
    fold.apply({offset: 1, value: publish(0, 1)});
    fold.apply({offset: 2, value: publish(1, 2)});
    fold.apply({offset: 3, value: publish(1, 3)});
    fold.apply({offset: 4, value: publish(1, 2)});
    expect([fold.verdict('nonce-2'), fold.verdict('nonce-3')]).toEqual([
      {kind: 'accepted', version: 2},
      {kind: 'void', reason: 'other-base', currentVersion: 2},
    ]);
    expect(fold.verdict(4)).toMatchObject({kind: 'void'});
  });

  it('takes no older version, whatever a peer claims to have folded', () => {
    const fold = new ConfigFold();
    fold.apply({offset: 1, value: publish(0, 1)});
    fold.apply({offset: 2, value: publish(1, 2)});
    const older = {version: 1, foldedThrough: 9, body: bodyOf(1)};
    expect(fold.restore(older)).toBe(false);
    expect(fold.state?.version).toBe(2);
  });

  /*
   * A VM starts when the log has forgotten the first records. The publish it
   * finds may be void, so nothing is in force until a checkpoint covers the
   * start; then it judges what it had read already.
   */
  it('lets a newcomer begin from a checkpoint and judge what it buffered', () => {
    const fold = new ConfigFold();
    const seen: Array<number | undefined> = [];
    const checkpointOf = (foldedThrough: number) => {
      const body = bodyOf(2);
      return {kind: 'checkpoint', version: 2, foldedThrough, body};
    };
    const values = [
      publish(3, 5),
      publish(2, 6),
      checkpointOf(3),
      checkpointOf(4),
    ];
    values.forEach((value, index) => {
      fold.apply({offset: 5 + index, value});
      seen.push(fold.state?.version);
    });
    expect(seen).toEqual([undefined, undefined, undefined, 6]);
    expect(fold.verdict(5)).toMatchObject({kind: 'void', reason: 'other-base'});
  });
});
