import {describe, expect, it} from 'vitest';
import type {Call} from '../callers.js';
import {judge} from '../judge.js';
import type {SoakRecord} from '../soakRecord.js';
import type {ResumedStream} from '../resumingCaller.js';

const QUIET: SoakRecord = {
  calls: [],
  streams: [],
  crashing: [],
  seen: new Map(),
  orders: [],
  overfilled: [],
  faults: [],
  probes: [],
  leavings: [],
  ownEnds: [],
  notRecovered: [],
};

const SIGNED = {'request-id': 'c1', 'server-stamp': 's'};

function callOf(kind: string, seen: Partial<Call['seen']>): Call {
  return {
    id: 'c1',
    kind,
    entry: 'entry-0',
    entryStart: 1,
    startedMs: 1_000,
    endedMs: 1_100,
    seen: {status: 200, headers: SIGNED, text: '', isTruncated: false, ...seen},
  };
}

function ran(times: number, fault?: 'silent'): SoakRecord['seen'] {
  const one = {
    requestId: 'c1',
    target: '/x',
    atMs: 0,
    rawHeaders: [],
    isExecuted: true,
    bodyBytes: 0,
    runnerId: 'plain-1',
    isLeaving: false,
    cancelled: false,
    fault,
  };
  return new Map([['c1', Array.from({length: times}, () => one)]]);
}

/** Ten seconds apart, each cut by the crash that it caused. */
function sendings(count: number): Call[] {
  return Array.from({length: count}, (_, i) => ({
    ...callOf('letter', {isTruncated: true}),
    id: `crash-${i}`,
    startedMs: 1_000 + i * 10_000,
    endedMs: 1_100 + i * 10_000,
  }));
}

function ranEach(count: number): SoakRecord['seen'] {
  const [run] = ran(1).get('c1')!;
  return new Map(
    Array.from({length: count}, (_, i) => [
      `crash-${i}`,
      [{...run!, requestId: `crash-${i}`}],
    ]),
  );
}

/** Sendings to one runner, each that long after the first. */
function sentAfter(delaysMs: readonly number[], said: object) {
  const [run] = ran(1).get('c1')!;
  const ids = delaysMs.map((_, i) => `sent-${i}`);
  const calls = delaysMs.map((delayMs, i) => ({
    ...callOf('status', {status: 200, text: 'answer of plain-1'}),
    id: ids[i]!,
    startedMs: delayMs,
    endedMs: delayMs + 10,
    seen: {
      status: 200,
      headers: {...SIGNED, 'request-id': ids[i]!},
      text: 'answer of plain-1',
      isTruncated: false,
    },
  }));
  const seen: SoakRecord['seen'] = new Map(
    delaysMs.map((delayMs, i) => [
      ids[i]!,
      [{...run!, ...said, requestId: ids[i]!, atMs: delayMs}],
    ]),
  );
  return {calls, seen};
}

const IN_A_PAUSE = sentAfter([0, 600, 700, 800], {
  isExecuted: false,
  bodyBytes: 0,
  retryAfterS: 1,
});

const ORDER = {operation: 'load', model: 'm1', fencingToken: 7};
const LEAVING = {runnerId: 'plain-1', atMs: 0};
/** A stream that its caller left and took up at another entry. */
function streamOf(
  first: number[],
  firstVersion: string,
  rest: number[],
  restVersion: string,
): ResumedStream {
  const partOf = (numbers: number[], version: string, isComplete: boolean) => ({
    status: 200,
    headers: {},
    events: numbers.map(number => `token ${number} of ${version}`),
    lastEventId: String(numbers.at(-1)),
    isComplete,
  });
  return {
    id: 'r0-1',
    entries: ['entry-0', 'entry-1'],
    parts: [
      partOf(first, firstVersion, false),
      partOf(rest, restVersion, true),
    ],
  };
}

const PROBE = {
  entry: 'entry-0',
  entryStart: 1,
  route: 'added-0',
  addedMs: 1_000,
};

/** What was seen, and the rule that it breaks; none for what is allowed. */
const CASES: Array<[string, Partial<SoakRecord>, string[]]> = [
  ['nothing', {}, []],
  [
    'a whole answer',
    {calls: [callOf('lodge', {text: 'answer of desk-1'})], seen: ran(1)},
    [],
  ],
  [
    'an answer with another head',
    {
      calls: [
        callOf('lodge', {
          text: 'answer of desk-1',
          headers: {...SIGNED, 'request-id': 'other'},
        }),
      ],
    },
    ['answer is whole and the caller’s own'],
  ],
  [
    'a stream that ends early as if whole',
    {calls: [callOf('letter', {text: 'id: 1\ndata: token 1\n\n'})]},
    ['answer is whole and the caller’s own'],
  ],
  [
    'a stream of one version that was taken up',
    {streams: [streamOf([1, 2], 'v1', [3, 4, 5, 6], 'v1')]},
    [],
  ],
  [
    'a stream that was taken up at another version',
    {streams: [streamOf([1, 2], 'v1', [3, 4, 5, 6], 'v2')]},
    ['a stream has events of one version'],
  ],
  [
    'a stream that was taken up too late',
    {streams: [streamOf([1, 2], 'v1', [4, 5, 6], 'v1')]},
    ['a stream that is taken up has no gap and no repeat'],
  ],
  [
    'a response with events of two versions',
    {
      calls: [
        callOf('letter', {
          text: 'id: 1\ndata: token 1 of v1\n\nid: 2\ndata: token 2 of v2\n\n',
          isTruncated: true,
        }),
      ],
    },
    ['a stream has events of one version'],
  ],
  [
    'a stream with a repeat',
    {
      calls: [
        callOf('letter', {
          isTruncated: true,
          text: 'id: 1\ndata: token 1\n\nid: 1\ndata: token 1\n\n',
        }),
      ],
    },
    ['stream has no gap and no repeat'],
  ],
  [
    'two runs of what may run once',
    {calls: [callOf('lodge', {status: 502})], seen: ran(2)},
    ['what may not be repeated runs once'],
  ],
  [
    'a refusal of what ran',
    {calls: [callOf('lodge', {status: 503})], seen: ran(1)},
    ['what is refused has not run'],
  ],
  [
    'a cut without a cause',
    {calls: [callOf('lodge', {isTruncated: true})], seen: ran(1)},
    ['no answer is cut but by a fault'],
  ],
  [
    'a request that crashes runners, sent on',
    {crashing: sendings(8), seen: ranEach(8)},
    ['what crashes runners is not sent on'],
  ],
  [
    'a request that crashes runners, sent three times more',
    {crashing: sendings(6), seen: ranEach(6)},
    [],
  ],
  [
    'the same by an entry that has just started',
    {
      crashing: sendings(8),
      seen: ranEach(8),
      faults: [
        {kind: 'entry-kill', fromMs: 1_000, toMs: 80_000, entry: 'entry-0'},
      ],
    },
    [],
  ],
  [
    'a request to a runner that had said it is leaving',
    sentAfter([0, 2_100], {isLeaving: true}),
    ['a runner that says it is leaving is left alone'],
  ],
  ['the same within two seconds', sentAfter([0, 1_900], {isLeaving: true}), []],
  [
    'the same by an entry that was frozen',
    {
      ...sentAfter([0, 2_100], {isLeaving: true}),
      faults: [
        {kind: 'entry-pause', fromMs: 500, toMs: 2_000, entry: 'entry-0'},
      ],
    },
    [],
  ],
  [
    'a request to a runner that the store calls leaving',
    {...sentAfter([0, 2_100], {}), leavings: [LEAVING]},
    ['a runner that the store calls leaving is left alone'],
  ],
  [
    'the same while the store deletes its history',
    {
      ...sentAfter([0, 2_100], {}),
      leavings: [LEAVING],
      faults: [{kind: 'store-forgets', fromMs: 0, toMs: 1}],
    },
    ['a runner that the store calls leaving is left alone'],
  ],
  [
    'the same while its leaving may not be known yet',
    {...sentAfter([0, 1_900], {}), leavings: [LEAVING]},
    [],
  ],
  [
    'the same by an entry whose way to the store was cut',
    {
      ...sentAfter([0, 2_600], {}),
      leavings: [LEAVING],
      faults: [{kind: 'store-link', fromMs: 500, toMs: 900, entry: 'entry-0'}],
    },
    [],
  ],
  [
    'the same by an entry while the way of another one was cut',
    {
      ...sentAfter([0, 2_600], {}),
      leavings: [LEAVING],
      faults: [{kind: 'store-link', fromMs: 500, toMs: 900, entry: 'entry-1'}],
    },
    ['a runner that the store calls leaving is left alone'],
  ],
  [
    'three requests within a pause',
    IN_A_PAUSE,
    ['a runner has the pause that it asked for'],
  ],
  [
    'two requests within a pause, and one right after it was asked for',
    sentAfter([0, 300, 700, 800], {isExecuted: false, retryAfterS: 1}),
    [],
  ],
  [
    'a cut by a kill',
    {
      calls: [callOf('lodge', {isTruncated: true})],
      seen: ran(1),
      faults: [
        {kind: 'entry-kill', fromMs: 1_050, toMs: 1_050, entry: 'entry-0'},
      ],
    },
    [],
  ],
  [
    'a cut that the runner made',
    {calls: [callOf('lodge', {isTruncated: true})], seen: ran(1, 'silent')},
    [],
  ],
  [
    'two holders with one token',
    {
      orders: [
        {...ORDER, holder: 'a'},
        {...ORDER, holder: 'b'},
      ],
    },
    ['one holder has a fencing token'],
  ],
  [
    'a version that goes back',
    {
      probes: [
        {...PROBE, askedMs: 2_000, isKnown: true},
        {...PROBE, askedMs: 2_500, isKnown: false},
      ],
    },
    ['no version goes back'],
  ],
  [
    'a version that comes late',
    {probes: [{...PROBE, askedMs: 4_000, isKnown: false}]},
    ['a change is in force in time'],
  ],
  [
    'a version that comes late while the store is down',
    {
      probes: [{...PROBE, askedMs: 4_000, isKnown: false}],
      faults: [{kind: 'store-down', fromMs: 900, toMs: 3_000}],
    },
    [],
  ],
];

describe('judge', () => {
  it.each(CASES)('%s', (_name, seen, rules) => {
    const found = judge({...QUIET, ...seen}, true);
    expect(found.map(({rule}) => rule)).toEqual(rules);
  });
});

describe('judge of callers that herd beside odd records', () => {
  // Guards against records of another writer that hide calls that fail.
  it.each(['odd-registrations', 'odd-system-records', 'odd-config'] as const)(
    'counts calls that fail beside %s',
    kind => {
      const calls = Array.from({length: 20}, () =>
        callOf('status', {status: 503}),
      );
      const faults = [
        {kind: 'callers-herd' as const, fromMs: 900, toMs: 1_200},
        {kind, fromMs: 0, toMs: 2_000},
      ];
      const found = judge({...QUIET, calls, faults}, false);
      expect(found.map(({rule}) => rule)).toEqual([
        'callers that herd to one entry are served',
      ]);
    },
  );
});

describe('judge of callers after odd headers', () => {
  const oddCaller = {beforeMs: 0, fromMs: 2_000, toMs: 6_000, overMs: 10_000};
  const callAt = (startedMs: number, status: number): Call => ({
    ...callOf('status', {status}),
    startedMs,
    endedMs: startedMs + 100,
  });

  // Guards against one caller whose values keep refusing the others.
  it.each([
    [200, 503, 200, 1],
    [200, 200, 503, 0],
    [503, 503, 503, 0],
  ])('with %i before, %i after and %i between finds %i', (a, b, c, count) => {
    const calls = [callAt(1_000, a), callAt(5_000, c), callAt(11_000, b)];
    const found = judge({...QUIET, calls, oddCaller}, false).filter(
      ({rule}) => rule === 'callers are served as before after odd headers',
    );
    expect(found).toHaveLength(count);
  });
});
