import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {decideRoute} from '../decideRoute.js';
import {DEFAULT_ROUTE_OPTIONS} from '../options.js';
import type {RunnerView} from '../types.js';
import {routingRequest, runnerView} from './views.js';

function route(runners: RunnerView[], request = routingRequest(), nowMs = 0) {
  const view = {runners, failureDomain: 'd0', region: 'r'};
  return decideRoute(view, request, nowMs);
}

describe('decideRoute', () => {
  const a = runnerView();
  const b = runnerView({vmId: 'b'});
  const table: Array<[string, RunnerView[], string]> = [
    ['the first of equals', [b, a], 'a'],
    ['the one with fewer running', [{...a, running: 3}, b], 'b'],
    ['the one without a queue', [{...a, queued: 1}, b], 'b'],
    ['not an unreachable one', [{...a, reachable: false}, b], 'b'],
    ['not a leaving one', [{...a, leaving: true}, b], 'b'],
    ['not an ejected one', [{...a, ejectedUntilMs: 5}, b], 'b'],
    ['not one without a copy', [{...a, artifacts: new Set()}, b], 'b'],
    ['its own role', [{...a, runnerRole: 'drafting'}, b], 'b'],
    ['its own failure domain', [{...a, failureDomain: 'd1'}, b], 'b'],
    [
      'one whose report is not lost',
      [{...a, reportReceivedMs: -9_999}, b],
      'b',
    ],
    [
      'the one with the prefix',
      [a, {...b, cachedPrefixes: new Set(['p'])}],
      'b',
    ],
    [
      'the idle one if the one with the prefix has a long queue',
      [a, {...b, queueDelayMs: 200, cachedPrefixes: new Set(['p'])}],
      'a',
    ],
    [
      'the one without own unreported requests',
      [{...a, ownUnreported: 4}, b],
      'b',
    ],
  ];

  it.each(table)('chooses %s', (_name, runners, vmId) => {
    expect(route(runners)).toMatchObject({kind: 'route', vmId});
  });

  it('returns a reason for each runner', () => {
    const gone = runnerView({vmId: 'c', reachable: false});
    expect(route([a, {...b, running: 2}, gone])).toMatchSnapshot();
  });

  it('refuses with the time after which the queue has drained', () => {
    const busy = {...a, running: 16, queueDelayMs: 1_000};
    const decision = route([busy]);
    expect(decision).toMatchObject({
      kind: 'refuse',
      code: 'all-busy',
      retryAfterMs: 690,
    });
  });

  it('chooses a runner in time if the best by score would be late', () => {
    const late = {...a, queueDelayMs: 400, cachedPrefixes: new Set(['p'])};
    const inTime = {...b, queueDelayMs: 300, running: 16};
    const request = routingRequest({promptTokens: 20_000});
    expect(route([late, inTime], request)).toMatchObject({vmId: 'b'});
  });

  it.each([
    ['no-runner', [{...a, reachable: false}]],
    ['no-copy', [{...a, artifacts: new Set<string>()}]],
    ['all-busy', [{...a, ejectedUntilMs: 5}]],
  ])('refuses with %s', (code, runners) => {
    expect(route(runners)).toMatchObject({kind: 'refuse', code});
  });

  it('chooses at random only among near ties, with the given generator', () => {
    const view = {
      runners: [a, b, runnerView({vmId: 'c', running: 5})],
      failureDomain: 'd0',
      region: 'r',
    };
    fc.assert(
      fc.property(fc.double({min: 0, max: 0.999, noNaN: true}), number => {
        const decide = () =>
          decideRoute(
            view,
            routingRequest(),
            0,
            DEFAULT_ROUTE_OPTIONS,
            () => number,
          );
        expect(decide()).toEqual(decide());
        expect(decide()).toMatchObject({vmId: number < 0.5 ? 'a' : 'b'});
      }),
    );
  });
});
