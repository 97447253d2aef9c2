import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ConfigFold, type ConfigLogRecord} from '../configFold.js';
import {publishedConfigSchema} from '../types.js';

const SEED = 20_262;
const RUNS = 3_000;

function createBody(serial: number) {
  const service = {name: `service-${serial}`};
  return publishedConfigSchema.parse({services: [service]});
}

function publish(baseVersion: number, serial: number) {
  const nonce = `nonce-${serial}`;
  const body = createBody(serial);
  return {kind: 'publish', baseVersion, nonce, publisher: 'ana', body};
}

/** The first violates the schema, the second refers to a missing group. */
const INVALID_BODIES = [
  {models: 'many'},
  {selectors: [{name: 'lost', group: 'none'}]},
];

/** Template of a record; its versions are filled in from the log before it. */
type RecordTemplate =
  | {kind: 'publish'; versionsBack: number; invalidBody: unknown}
  | {kind: 'checkpoint'; foldedBack: number}
  | {kind: 'junk'; value: unknown};

const templateArbitrary: fc.Arbitrary<RecordTemplate> = fc.oneof(
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

interface ReferenceLog {
  records: ConfigLogRecord[];
  /** The version in force after each offset; 0 before the first publish. */
  versions: number[];
  snapshots: unknown[];
}

/** Builds a log and derives the expected states independently of the fold. */
function buildReferenceLog(templates: RecordTemplate[]): ReferenceLog {
  const records: ConfigLogRecord[] = [];
  const versions = [0];
  const snapshots: unknown[] = [undefined];
  const accepted = [0];
  templates.forEach((template, index) => {
    const offset = index + 1;
    let version = accepted.at(-1)!;
    let value: unknown = template.kind === 'junk' ? template.value : undefined;
    if (template.kind === 'checkpoint') {
      const at = Math.max(0, index - template.foldedBack);
      value = {kind: 'checkpoint', ...(snapshots[at] as object | undefined)};
    }
    if (template.kind === 'publish') {
      const base = accepted.at(-1 - template.versionsBack) ?? 0;
      const {invalidBody} = template;
      const body = invalidBody ?? createBody(offset);
      value = {...publish(base, offset), body};
      if (base === version && !invalidBody) version = offset;
    }
    if (version !== accepted.at(-1)) accepted.push(version);
    records.push({offset, value});
    versions.push(version);
    const body = createBody(version);
    const snapshot = {version, foldedThrough: offset, body};
    snapshots.push(version === 0 ? undefined : snapshot);
  });
  return {records, versions, snapshots};
}

/** A reader reads records, loses some, or receives the state of a peer. */
type ReaderStep = {kind: 'read' | 'lose' | 'restore'; count: number};

const stepArbitrary: fc.Arbitrary<ReaderStep> = fc.record({
  kind: fc.constantFrom('read', 'read', 'read', 'lose', 'restore'),
  count: fc.nat({max: 6}),
});

function expectMatchesReference(
  fold: ConfigFold,
  {versions, snapshots}: ReferenceLog,
): void {
  const {state, foldedThrough} = fold;
  expect(state?.version ?? 0).toBe(versions[foldedThrough]);
  expect(state).toEqual(snapshots[foldedThrough]);
}

/*
 * Guards against readers that disagree about the version in force. The logs
 * contain stale bases, invalid bodies, junk and checkpoints of earlier offsets;
 * readers lose records to the retention and receive states of peers ahead of or
 * behind them. After each step, a reader's state must match the reference at
 * its folded offset, and its version must not decrease.
 */
describe('ConfigFold', () => {
  it(`agrees with the log and never reverts (seed ${SEED}, ${RUNS} runs)`, () => {
    const counts = {recovered: 0, waiting: 0};
    fc.assert(
      fc.property(
        fc.array(templateArbitrary, {minLength: 10, maxLength: 40}),
        fc.array(stepArbitrary, {maxLength: 40}),
        (templates, steps) => {
          const reference = buildReferenceLog(templates);
          const fold = new ConfigFold();
          let position = 1;
          let lastVersion = 0;
          let lastFolded = 0;
          for (const {kind, count} of steps) {
            const hadGap = fold.needsBase;
            const endOffset = reference.records.length + 1;
            if (kind === 'lose') {
              position = Math.min(endOffset, position + count);
            }
            if (kind === 'restore') {
              fold.restore(reference.snapshots[position + count - 3]);
            }
            if (kind === 'read') {
              fold.detectGap(position);
              for (const record of reference.records.slice(
                position - 1,
                position - 1 + count,
              )) {
                fold.apply(record);
                position = record.offset + 1;
              }
            }
            expectMatchesReference(fold, reference);
            const version = fold.state?.version ?? 0;
            expect(version).toBeGreaterThanOrEqual(lastVersion);
            expect(fold.foldedThrough).toBeGreaterThanOrEqual(lastFolded);
            lastVersion = version;
            lastFolded = fold.foldedThrough;
            if (fold.needsBase) counts.waiting++;
            if (hadGap && !fold.needsBase) counts.recovered++;
          }
        },
      ),
      {seed: SEED, numRuns: RUNS},
    );
    // Without gaps and recoveries, the property would hold trivially.
    expect(Math.min(counts.recovered, counts.waiting)).toBeGreaterThan(100);
  });

  it('marks the second of two concurrent publishes as void', () => {
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

  it('rejects an older version, even if the peer folded a later offset', () => {
    const fold = new ConfigFold();
    fold.apply({offset: 1, value: publish(0, 1)});
    fold.apply({offset: 2, value: publish(1, 2)});
    const older = {version: 1, foldedThrough: 9, body: createBody(1)};
    expect(fold.restore(older)).toBe(false);
    expect(fold.state?.version).toBe(2);
  });

  /*
   * A VM starts after the log has deleted its first records. The first publish
   * that it reads may be void, so no version is in force until a checkpoint
   * covers the gap; then the buffered records are evaluated.
   */
  it('starts from a checkpoint and evaluates the buffered records', () => {
    const fold = new ConfigFold();
    const seen: Array<number | undefined> = [];
    const checkpointOf = (foldedThrough: number) => {
      const body = createBody(2);
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
