import {atSize} from './fit.js';
import {KEYS_PER_SECOND, VMS, reportBytes} from './multiply.js';
import {slopeNamed, type Slopes} from './slope.js';
import {
  ASSUMED,
  CONFIG_CHANGES_PER_SECOND,
  INTERVALS,
  TARGET,
} from './target.js';

const MS_PER_SECOND = 1_000;
const SECONDS_PER_DAY = 86_400;

/** Choices of docs/design/scale.md; all figures of one mechanism lean on them. */
export const DESIGN = {
  /** Copies of a model that an entry asks before it chooses. */
  probesPerRequest: 2,
  /** A probe and its answer: request id, artifact, digest, UDP and IP heads. */
  probeBytes: 160,
  /** Directory: model and runner as two numbers of two bytes. */
  copyBytesPacked: 4,
  movesPerSecond: 4,
  /** Children that one node passes configuration on to. */
  relayFanOut: 8,
  directReadersPerDomain: 2,
  /** A poll held for longer hides a parent that hangs. */
  relayPollMs: 1_000,
  /** How long a home of keys collects records for one append. */
  claimCollectMs: 200,
  checkpointMs: 1_800_000,
  /** One model changed, with what a record has besides. */
  deltaOverheadBytes: 450,
  modelHomes: 2,
  homeReportMs: 4_000,
} as const;

/** One way to carry a need that today's mechanism misses. */
export interface Mechanism {
  concern: string;
  way: string;
  /** Control bytes a second at the busiest node, in and out. */
  bytesPerSecond: number;
  note: string;
  /** Whether docs/design/scale.md settles on it. */
  isChosen: boolean;
}

const perEntry = TARGET.requestsPerSecond / TARGET.entries;
const vmsPerDomain = VMS / TARGET.failureDomains;
const entriesPerDomain = TARGET.entries / TARGET.failureDomains;

/** The ways weighed in docs/design/scale.md, with the measured slopes. */
export function mechanisms(slopes: Slopes): Mechanism[] {
  return [
    ...loadWays(slopes),
    ...vmListWays(slopes),
    ...configWays(slopes),
    ...claimWays(slopes),
  ];
}

function loadWays(slopes: Slopes): Mechanism[] {
  const copies = TARGET.agents * ASSUMED.copiesPerRunner;
  const perCopy = slopeNamed(slopes, 'report bytes by copies').slope;
  const modelsPerHome = (TARGET.models * DESIGN.modelHomes) / TARGET.entries;
  const runnersPerHome = (modelsPerHome * copies) / TARGET.models;
  const lean = reportBytes(slopes, {prefixes: 0, served: 0});
  const fixed = reportBytes(slopes, {copies: 0, prefixes: 0, served: 0});
  const digests = copies * DESIGN.copyBytesPacked * 2;
  const probes =
    perEntry * DESIGN.probesPerRequest * DESIGN.probeBytes +
    DESIGN.movesPerSecond * perCopy;
  return [
    {
      concern: 'load reports',
      way: 'homes of models among the entries, reports to the homes alone',
      bytesPerSecond:
        (runnersPerHome * lean * MS_PER_SECOND) / DESIGN.homeReportMs +
        perEntry * fixed,
      note: `${runnersPerHome.toFixed(0)} runners a home; one look-up a request`,
      isChosen: false,
    },
    {
      concern: 'load reports',
      way: 'digest of each failure domain to each entry, every 5 s',
      bytesPerSecond: digests / 5,
      note: `${(digests / 1_000).toFixed(0)} KB for ${copies} copies, packed`,
      isChosen: false,
    },
    {
      concern: 'load reports',
      way: 'directory of copies by deltas, two probes a request',
      bytesPerSecond: probes,
      note: `directory of ${((copies * DESIGN.copyBytesPacked) / 1_000).toFixed(0)} KB once`,
      isChosen: true,
    },
  ];
}

function vmListWays(slopes: Slopes): Mechanism[] {
  const whole = atSize(slopeNamed(slopes, 'VM list bytes'), VMS);
  const perVm = slopeNamed(slopes, 'VM list bytes').slope;
  const changes =
    (TARGET.vmFailuresPerDay + TARGET.vmReplacementsPerDay) / SECONDS_PER_DAY;
  const deltas = changes * 2 * perVm * (1 + DESIGN.relayFanOut);
  return [
    {
      concern: 'VM list',
      way: 'one reader in a failure domain, each second',
      bytesPerSecond: whole + deltas,
      note: `${TARGET.failureDomains} reads a second in all`,
      isChosen: false,
    },
    {
      concern: 'VM list',
      way: 'the entries of a failure domain take turns, and pass on deltas',
      bytesPerSecond: whole / entriesPerDomain + deltas,
      note: `each reads once in ${entriesPerDomain.toFixed(0)} s`,
      isChosen: true,
    },
  ];
}

function configWays(slopes: Slopes): Mechanism[] {
  const poll = slopeNamed(slopes, 'log poll bytes');
  const whole = atSize(poll, TARGET.models);
  const empty = poll.points[0]?.y ?? 0;
  const delta = poll.slope + DESIGN.deltaOverheadBytes + empty;
  const checkpoint = (whole * MS_PER_SECOND) / DESIGN.checkpointMs;
  const hops = 1 + DESIGN.relayFanOut;
  const depth = Math.ceil(
    Math.log(vmsPerDomain / DESIGN.directReadersPerDomain) /
      Math.log(DESIGN.relayFanOut),
  );
  const idle = (empty * MS_PER_SECOND) / INTERVALS.logPollMs;
  const direct = CONFIG_CHANGES_PER_SECOND * delta + idle + checkpoint;
  const relayIdle = (empty * MS_PER_SECOND) / DESIGN.relayPollMs;
  const leaf = direct - idle + relayIdle;
  return [
    {
      concern: 'configuration',
      way: 'whole records, relayed inside the failure domain',
      bytesPerSecond: CONFIG_CHANGES_PER_SECOND * whole * hops,
      note: 'a node inside the tree; a leaf has a ninth',
      isChosen: false,
    },
    {
      concern: 'configuration',
      way: 'deltas, read from the log by each node',
      bytesPerSecond: direct,
      note: `${VMS} readers of the log, ${(VMS * CONFIG_CHANGES_PER_SECOND).toFixed(0)} answers/s`,
      isChosen: false,
    },
    {
      concern: 'configuration',
      way: 'deltas, relayed inside the failure domain; an entry is a leaf',
      bytesPerSecond: leaf,
      note:
        `${(leaf * hops).toFixed(0)} B/s at an agent that passes on, ` +
        `${TARGET.failureDomains * DESIGN.directReadersPerDomain} readers of the log, ${depth} hops`,
      isChosen: true,
    },
  ];
}

function claimWays(slopes: Slopes): Mechanism[] {
  const perKey = slopeNamed(slopes, 'claim records').slope;
  return [
    {
      concern: 'claims',
      way: 'each entry follows all claims, larger batches',
      bytesPerSecond: KEYS_PER_SECOND * perKey,
      note: `${(KEYS_PER_SECOND * 2).toFixed(0)} appends/s: 730 entries have nothing to batch`,
      isChosen: false,
    },
    claimHomes(slopes, {homes: 16, readers: 2, isChosen: false}),
    claimHomes(slopes, {homes: 64, readers: 1, isChosen: true}),
  ];
}

/** Parts of the keys, each a stream that its homes alone follow. */
function claimHomes(
  slopes: Slopes,
  options: {homes: number; readers: number; isChosen: boolean},
): Mechanism {
  const {homes, readers, isChosen} = options;
  const perKey = slopeNamed(slopes, 'claim records').slope;
  const keys = (KEYS_PER_SECOND * readers) / homes;
  const records = (KEYS_PER_SECOND * 2) / homes;
  const collectSeconds = DESIGN.claimCollectMs / MS_PER_SECOND;
  const appends = (homes * records) / (1 + records * collectSeconds);
  const kept = (keys * INTERVALS.keyHorizonMs) / MS_PER_SECOND;
  const heap = kept * slopeNamed(slopes, 'claims in memory').slope;
  const takeover = kept * perKey;
  return {
    concern: 'claims',
    way: `homes of keys: ${homes} streams, ${readers} following each`,
    // Asked for by another entry, appended, and read back.
    bytesPerSecond: keys * perKey * 3,
    note:
      `${appends.toFixed(0)} appends/s, ${(heap / 1e6).toFixed(1)} MB at a home, ` +
      `${(takeover / 1e6).toFixed(1)} MB read at a takeover`,
    isChosen,
  };
}
