import {describe, expect, it} from 'vitest';
import {dataCosts} from '../model/dataCosts.js';
import {failureCosts} from '../model/failures.js';
import {mechanisms} from '../model/mechanisms.js';
import {needsToday, reportBytes, totalsOf} from '../model/multiply.js';
import {platformLoads} from '../model/platformLoad.js';
import {ROUND_SLOPES} from './slopesFixture.js';

describe('reportBytes', () => {
  it('adds the lists of a report to its fixed part', () => {
    const bytes = reportBytes(ROUND_SLOPES, {
      copies: 4,
      prefixes: 10,
      served: 5,
    });
    expect(bytes).toBe(800 + 400 + 200 + 100);
  });
});

describe('needsToday', () => {
  it('multiplies the slopes by the size of the letter', () => {
    const rows = needsToday(ROUND_SLOPES).map(
      ({role, resource, item, need}) =>
        `${role} ${resource} ${item}: ${Math.round(need)}`,
    );
    expect(rows).toMatchSnapshot();
  });

  it('says which slope is missing', () => {
    expect(() => needsToday({})).toThrow(/no slope is named/);
  });
});

describe('totalsOf', () => {
  it('sums what one role needs of one resource', () => {
    const need = {role: 'entry', resource: 'bytes', working: ''} as const;
    const totals = totalsOf([
      {...need, item: 'reports', need: 10_000},
      {...need, item: 'claims', need: 18_000},
    ]);
    expect(totals).toEqual([
      {
        role: 'entry',
        resource: 'bytes',
        need: 28_000,
        budget: 14_000,
        margin: 0.5,
        met: false,
      },
    ]);
  });

  it('takes a need of just the budget for met', () => {
    const [total] = totalsOf([
      {role: 'agent', resource: 'cpu', item: '', need: 31_000, working: ''},
    ]);
    expect(total).toMatchObject({margin: 1, met: true});
  });
});

describe('what follows from the slopes', () => {
  it.each([
    ['platformLoads', () => platformLoads(ROUND_SLOPES)],
    ['mechanisms', () => mechanisms(ROUND_SLOPES)],
    ['failureCosts', () => failureCosts(ROUND_SLOPES)],
    ['dataCosts', () => dataCosts(ROUND_SLOPES, undefined)],
  ])('%s stays as worked out', (_name, work) => {
    expect(work()).toMatchSnapshot();
  });
});
