import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {RunnerCopies} from '../peers/peerContract.js';
import {CopyRevisions, type KnownRevision} from '../placement/copyRevisions.js';

function runner(runnerId: string, ...models: string[]): RunnerCopies {
  return {runnerId, models, adapters: [], isBusy: false};
}

describe('CopyRevisions', () => {
  it('tells an entry only what it has not heard', () => {
    const revisions = new CopyRevisions('e1');
    revisions.update([runner('r1', 'a'), runner('r2')]);
    const first = revisions.since(undefined);
    expect(first).toMatchObject({isWhole: true, gone: []});
    expect(first.runners).toHaveLength(2);
    revisions.update([runner('r1', 'a'), runner('r2', 'b')]);
    const second = revisions.since(first);
    expect(second).toMatchObject({
      isWhole: false,
      runners: [runner('r2', 'b')],
    });
    revisions.update([runner('r1', 'a')]);
    expect(revisions.since(second)).toMatchObject({runners: [], gone: ['r2']});
  });

  it('tells all to one that heard another holder', () => {
    const revisions = new CopyRevisions('e2');
    revisions.update([runner('r1', 'a')]);
    const other: KnownRevision = {epoch: 'e1', revision: 1};
    expect(revisions.since(other)).toMatchObject({isWhole: true});
  });

  it('leaves every entry with what the runners hold, whatever it missed', () => {
    const state = fc.dictionary(
      fc.constantFrom('r1', 'r2', 'r3'),
      fc.subarray(['a', 'b']),
    );
    const steps = fc.array(fc.tuple(state, fc.boolean()), {maxLength: 40});
    fc.assert(
      fc.property(steps, played => {
        const revisions = new CopyRevisions('e1');
        const heard = new Map<string, string[]>();
        let known: KnownRevision | undefined;
        for (const [held, isHeard] of played) {
          const runners = Object.entries(held).map(([id, models]) =>
            runner(id, ...models),
          );
          revisions.update(runners);
          if (!isHeard) continue;
          const told = revisions.since(known);
          if (told.isWhole) heard.clear();
          for (const id of told.gone) heard.delete(id);
          for (const {runnerId, models} of told.runners) {
            heard.set(runnerId, models);
          }
          known = told;
          expect(Object.fromEntries(heard)).toEqual({...held});
        }
      }),
    );
  });
});
