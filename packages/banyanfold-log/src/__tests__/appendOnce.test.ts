import {describe, expect, it} from 'vitest';
import {acquireFencingToken} from '../acquireFencingToken.js';
import {appendOnce} from '../appendOnce.js';
import {claimPlanner, PlannerFold} from '../plannerFold.js';
import {FakeLog, type AppendFault} from './fakeLog.js';
import {createTestDependencies, settle} from './testKit.js';

interface FaultCase {
  fault: AppendFault | undefined;
  notFoundCode?: 'append-unknown';
  outcome: number | string;
  inLog: number;
}

const CASES: FaultCase[] = [
  {fault: undefined, outcome: 3, inLog: 1},
  {fault: 'refused', outcome: 'log-unavailable', inLog: 0},
  {fault: 'lost-before', outcome: 'log-unavailable', inLog: 0},
  {fault: 'lost-after', outcome: 3, inLog: 1},
  {fault: 'late', outcome: 'log-unavailable', inLog: 1},
  {
    fault: 'late',
    notFoundCode: 'append-unknown',
    outcome: 'append-unknown',
    inLog: 1,
  },
  {fault: 'lost-before-outage', outcome: 'append-unknown', inLog: 0},
  {fault: 'lost-after-outage', outcome: 'append-unknown', inLog: 1},
];

/*
 * The response to an append is lost, before or after the log stored the record,
 * and the log may become unavailable as well. The caller must receive the
 * offset if the record is in the log, the record must not be appended twice,
 * and the caller must not receive "not appended" while the outcome is unknown.
 */
describe('appendOnce', () => {
  it.each(CASES)('$fault, then $outcome', async testCase => {
    const {clock} = createTestDependencies();
    const log = new FakeLog(clock);
    log.push('claims', {nonce: 'x'}, 'junk');
    log.faults.push(testCase.fault);
    const value = {nonce: 'mine'};
    const {notFoundCode} = testCase;
    const options = {log, stream: 'claims', value, notFoundCode} as const;
    const appending = appendOnce(options);
    const result = await settle(clock, appending);
    await clock.advance(1_000);
    expect(result.match(String, ({code}) => code)).toBe(
      String(testCase.outcome),
    );
    const mine = log.allRecords.filter(({value}) =>
      JSON.stringify(value).includes('mine'),
    );
    expect(mine).toHaveLength(testCase.inLog);
    expect(log.calls.append).toBe(1);
  });
});

describe('appendOnce, in a long stream', () => {
  it.each([
    ['lost-after', 1_201],
    ['lost-before', 'log-unavailable'],
  ] as const)('after %s searches every page', async (fault, outcome) => {
    const {clock} = createTestDependencies();
    const log = new FakeLog(clock);
    log.push('claims', ...Array<string>(1_200).fill('junk'));
    log.faults.push(fault);
    const value = {nonce: 'mine'};
    const result = await appendOnce({log, stream: 'claims', value});
    const seen = result.match<number | string>(
      offset => offset,
      ({code}) => code,
    );
    expect([seen, log.calls.read]).toEqual([outcome, 3]);
  });
});

describe('acquireFencingToken', () => {
  it('returns increasing tokens, also after a lost response', async () => {
    const {clock} = createTestDependencies();
    const log = new FakeLog(clock);
    log.faults.push(undefined, 'lost-after');
    const first = await acquireFencingToken({log, vmId: 'a', nonce: '1'});
    const second = await acquireFencingToken({log, vmId: 'a', nonce: '2'});
    expect([first._unsafeUnwrap(), second._unsafeUnwrap()]).toEqual([1, 2]);
  });
});

describe('claimPlanner', () => {
  it('makes the last claim the planner, whatever the order of reading', async () => {
    const {clock} = createTestDependencies();
    const log = new FakeLog(clock);
    await claimPlanner({log, vmId: 'a', nonce: '1'});
    log.push('planner', 'junk');
    const epoch = await claimPlanner({log, vmId: 'b', nonce: '2'});
    const fold = new PlannerFold();
    for (const record of log.allRecords.toReversed()) fold.apply(record);
    expect(fold.state).toEqual({epoch: epoch._unsafeUnwrap(), vmId: 'b'});
  });
});
