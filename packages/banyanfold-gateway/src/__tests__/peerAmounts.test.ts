import {describe, expect, it} from 'vitest';
import {
  exchangeInputSchema,
  type ExchangeInput,
} from '../peers/peerContract.js';

/** What a message between entries holds that counts with an odd amount. */
function messageWith(amount: unknown) {
  const counts = {i1: amount, i2: 3};
  return {
    entry: '10.1.0.1:7',
    members: [
      {address: '10.1.0.1:7', failureDomain: 'hall', processorShare: 1},
    ],
    configVersion: 4,
    runnersChange: 9,
    openWork: counts,
    adaptersInUse: {},
    modelsInUse: {i1: counts},
    waiting: counts,
    poolBacklogs: {desk: {requests: amount, work: amount, workMs: amount}},
    batch: {
      batchId: 'a#1',
      demand: [
        {
          model: 'm1',
          arrivals: amount,
          promptTokens: amount,
          outputTokens: amount,
          adapters: counts,
        },
      ],
      outcomes: [{runnerId: 'i1', successes: amount, failures: amount}],
      usage: [
        {
          organisation: 'claims',
          asked: amount,
          used: amount,
          refunds: [{amount, agoMs: amount}],
        },
      ],
      rateUse: [{runnerId: 'i1', asked: amount, used: amount}],
      demandByOrganisation: [
        {
          pool: 'desk',
          organisation: 'claims',
          priority: 1,
          asked: amount,
          admitted: amount,
        },
      ],
      poolProgress: [{pool: 'desk', completed: amount, dropped: amount}],
    },
  };
}

const parse = (amount: unknown): ExchangeInput =>
  exchangeInputSchema.parse(JSON.parse(JSON.stringify(messageWith(amount))));

describe('an amount in a message between entries', () => {
  // Guards against an entry whose amounts move the sums of the holder for all
  // entries, and against one that is cut off because of a single amount.
  it.each([-1, -1e300, 1e300, Infinity, NaN, '5', null])(
    'counts as nothing if it is %j, and the others count',
    amount => {
      const {openWork, waiting, modelsInUse, poolBacklogs, batch} =
        parse(amount);
      const counts = {i1: 0, i2: 3};
      expect(openWork).toEqual(counts);
      expect(waiting).toEqual(counts);
      expect(modelsInUse).toEqual({i1: counts});
      expect(poolBacklogs).toEqual({desk: {requests: 0, work: 0, workMs: 0}});
      expect(batch.demand).toMatchObject([
        {arrivals: 0, promptTokens: 0, outputTokens: 0, adapters: counts},
      ]);
      expect(batch.outcomes).toMatchObject([{successes: 0, failures: 0}]);
      expect(batch.usage).toMatchObject([
        {asked: 0, used: 0, refunds: [{amount: 0, agoMs: 0}]},
      ]);
      // A request that was counted before may not have been sent.
      const unsent = amount === -1 ? -1 : 0;
      expect(batch.rateUse).toMatchObject([{asked: 0, used: unsent}]);
      expect(batch.demandByOrganisation).toMatchObject([
        {asked: 0, admitted: 0},
      ]);
      expect(batch.poolProgress).toMatchObject([{completed: 0, dropped: 0}]);
    },
  );

  it('counts if it is as large as any sum of requests', () => {
    const amount = 1e13;
    expect(parse(amount)).toEqual(messageWith(amount));
  });

  // Guards against refunds that lower the use by other requests.
  it('refunds no more than its entry has admitted', () => {
    const usage = (used: number) =>
      exchangeInputSchema.shape.batch.shape.usage.parse([
        {
          organisation: 'claims',
          asked: 10,
          used,
          refunds: [{amount: 60, agoMs: 200}],
        },
      ])![0]!.used;
    expect(usage(40)).toBe(40);
    expect(usage(-60)).toBe(-60);
    expect(usage(-61)).toBe(-60);
  });
});
