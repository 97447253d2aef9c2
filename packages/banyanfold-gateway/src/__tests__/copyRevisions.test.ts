import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {RunnerCopies} from '../peers/peerContract.js';
import {CopyRevisions, type KnownRevision} from '../placement/copyRevisions.js';

function runner(runnerId: string, ...models: string[]): RunnerCopies {
  return {runnerId, models, adapters: [], isBusy: false};
}

describe('CopyRevisions', () => {
  it('sends an entry only the changes that it has missed', () => {
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

  it('sends the full list to an entry that followed another holder', () => {
    const revisions = new CopyRevisions('e2');
    revisions.update([runner('r1', 'a')]);
    const other: KnownRevision = {epoch: 'e1', revision: 1};
    expect(revisions.since(other)).toMatchObject({isWhole: true});
  });

  it('brings every entry up to date, whichever changes it missed', () => {
    const state = fc.dictionary(
      fc.constantFrom('r1', 'r2', 'r3'),
      fc.subarray(['a', 'b']),
    );
    const steps = fc.array(fc.tuple(state, fc.boolean()), {maxLength: 40});
    fc.assert(
      fc.property(steps, history => {
        const revisions = new CopyRevisions('e1');
        const received = new Map<string, string[]>();
        let known: KnownRevision | undefined;
        for (const [held, isDelivered] of history) {
          const runners = Object.entries(held).map(([id, models]) =>
            runner(id, ...models),
          );
          revisions.update(runners);
          if (!isDelivered) continue;
          const changes = revisions.since(known);
          if (changes.isWhole) received.clear();
          for (const id of changes.gone) received.delete(id);
          for (const {runnerId, models} of changes.runners) {
            received.set(runnerId, models);
          }
          known = changes;
          expect(Object.fromEntries(received)).toEqual({...held});
        }
      }),
    );
  });
});
