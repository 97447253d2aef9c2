import {isSocketAddress} from '@banyanfold/core';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {z} from 'zod';
import {crashReportSchema} from '../crashes/crashContract.js';
import {
  exchangeAnswerSchema,
  exchangeInputSchema,
  lastOrderOutputSchema,
  leaseHandoverSchema,
} from '../peers/peerContract.js';
import {
  retryGrantInputSchema,
  retryGrantSchema,
} from '../peers/retryGrantContract.js';

const RUNS = 1_000;
const {FUZZ_RUNS, FUZZ_SEED} = process.env;
const OPTIONS = {
  numRuns: Number(FUZZ_RUNS ?? RUNS),
  seed: Number(FUZZ_SEED ?? 1),
};
const MAX_SOUND = 1e24;
const DEPTH = 100_000;
const OWN = '10.1.0.38:7380';

const INPUT = {
  entry: OWN,
  members: [{address: OWN, failureDomain: 'hall-a', processorShare: 0.5}],
  configVersion: 1,
  runnersChange: 0,
  known: {epoch: 'e', revision: 1},
  openWork: {'i-1': 2.5},
  adaptersInUse: {'i-1': ['m1/a1']},
  modelsInUse: {'i-1': {m1: 1}},
  waiting: {m1: 1},
  batch: {
    batchId: 'b1',
    demand: [
      {
        model: 'm1',
        arrivals: 1,
        promptTokens: 2,
        outputTokens: 3,
        adapters: {a1: 1},
      },
    ],
    rateUse: [{runnerId: 'i-1', asked: 0, used: -1}],
  },
  rateLimits: [{runnerId: 'i-1', perSecond: 2, ageMs: 3}],
  goneRunners: [{runnerId: 'i-1', bornMs: 1, heartbeatNumber: 2}],
  runnerSpeeds: [{runnerId: 'i-1', speed: 1, samples: 2}],
};
const OUTPUT = {
  kind: 'told',
  holder: OWN,
  isOrdering: true,
  ageMs: 0,
  configVersion: 1,
  runnersChange: 0,
  runnersReadAgeMs: 12.5,
  entries: 1,
  standbys: [OWN],
  relays: [OWN],
  loadAgesMs: [4],
  copies: {epoch: 'e', revision: 1, isWhole: true, runners: [], gone: ['i-2']},
  copiesInMs: {m1: 5},
  peersWork: {'i-1': 4},
  peersRequests: {'i-1': 1},
  organisationShares: {pool: {claims: [1, 0.5]}},
  replicas: {
    version: 'v',
    replicas: [{address: OWN, failureDomain: 'hall-a'}],
  },
};
const CRASHES = {
  crashes: [{life: 'i-1', fingerprints: ['f']}],
  served: ['f'],
  trialsOver: [{fingerprint: 'f', ran: true}],
  quarantined: [],
};

/** A list that contains itself many levels down. */
function nested(): unknown {
  let value: unknown = [];
  for (let depth = 0; depth < DEPTH; depth++) value = [value];
  return value;
}

const NESTED = nested();

const odd = fc.oneof(
  fc.constantFrom<unknown>(
    null,
    -1,
    1e25,
    1e300,
    -1e300,
    Infinity,
    NaN,
    '10.1.0.1:70000',
    'constructor',
    NESTED,
    JSON.parse('{"__proto__": {"i-1": 1e300}}'),
  ),
  fc.jsonValue({maxDepth: 3}),
  fc.double(),
  fc.string(),
);

type Paths = Array<Array<string | number>>;

function pathsOf(value: unknown): Paths {
  if (typeof value !== 'object' || value === null) return [[]];
  return Object.entries(value).flatMap(([key, part]) =>
    pathsOf(part).map(path => [key, ...path]),
  );
}

function withPart(
  value: unknown,
  [key, ...rest]: Array<string | number>,
  part: unknown,
): unknown {
  if (key === undefined) return part;
  const copy = (
    Array.isArray(value) ? [...value] : {...(value as object)}
  ) as Record<string | number, unknown>;
  copy[key] = withPart(copy[key], rest, part);
  return copy;
}

/** Any values, and a sound one of which a part is odd. */
function oddVariants(sound: object): fc.Arbitrary<unknown> {
  const changed = fc
    .tuple(fc.constantFrom(...pathsOf(sound)), odd)
    .map(([path, part]) => withPart(sound, path, part));
  return fc.oneof({weight: 1, arbitrary: odd}, {weight: 4, arbitrary: changed});
}

const ADDRESS_FIELDS = new Set(['address', 'entry', 'holder', 'holderAddress']);

/** Numbers and addresses anywhere in a message that no range allows. */
function unsoundParts(value: unknown, field = ''): unknown[] {
  if (typeof value === 'number') {
    return Math.abs(value) <= MAX_SOUND ? [] : [value];
  }
  if (typeof value === 'string' && ADDRESS_FIELDS.has(field)) {
    return isSocketAddress(value) ? [] : [value];
  }
  if (typeof value !== 'object' || value === null) return [];
  return Object.entries(value).flatMap(([key, part]) =>
    unsoundParts(part, key),
  );
}

// Guards against a message that is accepted by its types and acts later, and
// against a check that throws what a call doesn't catch.
describe('any message of a peer', () => {
  const cases: Array<[string, z.ZodType, object]> = [
    ['exchange', exchangeInputSchema, INPUT],
    ['answer to an exchange', exchangeAnswerSchema, OUTPUT],
    [
      'answer to an exchange without a holder',
      exchangeAnswerSchema,
      {kind: 'not-holder', holderAddress: OWN},
    ],
    ['report of crashes', crashReportSchema, CRASHES],
    ['last order', lastOrderOutputSchema, {agoMs: 1, upMs: 2, isOver: false}],
    ['handover', leaseHandoverSchema, {generation: 1, step: 2}],
    [
      'request for permits',
      retryGrantInputSchema,
      {service: 's', count: 1, isForwarded: false},
    ],
    ['permits', retryGrantSchema, {granted: 1, retryAfterMs: 2}],
  ];

  it.each(cases)('is a sound %s or refused', (_name, schema, sound) => {
    expect(schema.safeParse(sound).success).toBe(true);
    fc.assert(
      fc.property(oddVariants(sound), message => {
        const checked = schema.safeParse(message);
        if (checked.success) expect(unsoundParts(checked.data)).toEqual([]);
      }),
      OPTIONS,
    );
  });
});
