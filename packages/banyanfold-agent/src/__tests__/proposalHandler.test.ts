import {
  BanyanfoldError,
  MemoryLogger,
  Metrics,
  VirtualClock,
} from '@banyanfold/core';
import type {RetireVerdict} from '@banyanfold/log';
import type {Proposal} from '@banyanfold/protocol';
import {ResultAsync, err, ok, type Result} from 'neverthrow';
import {describe, expect, it} from 'vitest';
import {ProposalHandler} from '../control/proposalHandler.js';
import type {OrderSender} from '../engine/orderSender.js';
import {MemoryLedger} from '../memory/memoryLedger.js';

type Verdict = Result<RetireVerdict, BanyanfoldError>;

/** Creates a handler whose log answers when the test resolves the verdict. */
function createHandler() {
  const clock = new VirtualClock();
  const ledger = new MemoryLedger({
    clock,
    checksFencing: true,
    orderLateBoundMs: 0,
    kvPool: 'shared',
    kvFloorShare: 0,
    inheritedBoundMs: 0,
    createCopyId: artifact => `found/${artifact}`,
  });
  ledger.noteBarrierAccepted(1, []);
  ledger.observe(
    {
      takenAtMs: 2,
      kvUsedBytes: 0,
      kvCapacityBytes: 10,
      memoryCapacityBytes: 100,
      models: [{artifact: 'a@1', bytes: 50, state: 'loaded'}],
    },
    {sentAtMs: 0, engineNowMs: 2},
  );
  const unloadedArtifacts: string[] = [];
  const retiredCopyIds = new Set<string>();
  let resolveVerdict: (verdict: Verdict) => void = () => {};
  const verdict = new Promise<Verdict>(resolve => {
    resolveVerdict = resolve;
  });
  const handler = new ProposalHandler({
    clock,
    logger: new MemoryLogger(),
    metrics: new Metrics(),
    ledger,
    orders: {
      load: async () => {},
      unload: async (artifact: string) => {
        unloadedArtifacts.push(artifact);
      },
    } as unknown as OrderSender,
    retirements: {
      retireCopy: () => new ResultAsync(verdict),
      isRetired: copyId => retiredCopyIds.has(copyId),
    },
    isUnpublished: async () => false,
    inheritedRetireHoldMs: 0,
    hasFence: () => true,
    isLeaving: () => false,
    nextOrderId: artifact => `order/${artifact}`,
    setRunnerRole: () => {},
  });
  let count = 0;
  const propose = (fields: Partial<Proposal>) =>
    handler.propose({
      proposalId: `p${++count}`,
      plannerEpoch: 1,
      kind: 'retire',
      artifact: 'a@1',
      bytes: 0,
      runnerRole: '',
      reliesOnCopyIds: ['elsewhere'],
      viewedAtMs: 0,
      ...fields,
    });
  return {
    clock,
    propose,
    resolveVerdict,
    retiredCopyIds,
    unloadedArtifacts,
  };
}

describe('propose retire', () => {
  // The load of an adapter is proposed while the log decides on the retirement
  // of its model. If accepted, the adapter would occupy memory without use.
  it('loads no adapter while its model may be retired', async () => {
    const {propose, resolveVerdict, unloadedArtifacts, clock} = createHandler();
    const first = propose({});
    const load = {kind: 'load', artifact: 'a@1+x@1', bytes: 1} as const;
    expect((await propose(load)).reason).toBe('no-model');
    expect((await propose({})).reason).toBe('in-judgement');
    resolveVerdict(ok({kind: 'accepted'}));
    expect((await first).accepted).toBe(true);
    await clock.advance(100);
    expect(unloadedArtifacts).toEqual(['a@1']);
  });

  // The record is in the log, but the answer was lost. Others treat the copy as
  // retired, and further proposals for it are void. Its memory must be freed.
  it('unloads a copy whose verdict was lost once the log shows it', async () => {
    const {propose, resolveVerdict, retiredCopyIds, unloadedArtifacts, clock} =
      createHandler();
    const details = {step: 'retire-copy', peer: 'log'};
    resolveVerdict(err(new BanyanfoldError('append-unknown', 'lost', details)));
    const result = await propose({});
    expect(result).toEqual({accepted: false, reason: 'append-unknown'});
    await clock.advance(5_000);
    expect(unloadedArtifacts).toEqual([]);
    retiredCopyIds.add('found/a@1');
    await clock.advance(1_000);
    expect(unloadedArtifacts).toEqual(['a@1']);
  });
});
