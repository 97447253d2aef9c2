import type {CopyModel, CopyRunner} from '@banyanfold/decisions';
import {expect, it} from 'vitest';
import {summarizeCopies} from '../placement/summarizeCopies.js';

function runner(models: string[], intendedModel?: string): CopyRunner {
  return {
    runnerId: models.join('-'),
    failureDomain: 'hall-a',
    weightsMb: 200,
    reservedMb: 10,
    models,
    isBusy: false,
    inMemory: [],
    onDisk: [],
    intendedModel,
  };
}

function model(name: string, idleMs: number, waiting = 0): CopyModel {
  return {
    name,
    weightsMb: 70,
    storeLoadMs: 4_000,
    workPerSecond: 0,
    requestsPerSecond: 0,
    waiting,
    idleMs,
  };
}

it('tells copies in demand, extra ones and missing ones apart', () => {
  const summary = summarizeCopies({
    runners: [runner(['busy', 'idle']), runner(['busy'], 'missing')],
    models: [
      model('busy', 10, 3),
      model('idle', 60_000),
      model('missing', 200, 1),
      model('forgotten', 60_000),
    ],
    storeLoadsLeft: 2,
  });
  expect(summary).toMatchInlineSnapshot(`
    {
      "copies": 3,
      "extraCopies": 1,
      "heldModels": 2,
      "intendedModels": 1,
      "missingModels": 1,
      "runners": 2,
      "storeLoadsLeft": 2,
      "unrequestedModels": 1,
      "waiting": 4,
    }
  `);
});
