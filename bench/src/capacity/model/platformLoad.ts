import {atSize} from './fit.js';
import {KEYS_PER_SECOND, VMS} from './multiply.js';
import {slopeNamed, type Slopes} from './slope.js';
import {CONFIG_CHANGES_PER_SECOND, INTERVALS, TARGET} from './target.js';

const MS_PER_SECOND = 1_000;
/** Entries follow config and claims, agents config and retirements. */
const STREAMS_PER_NODE = 2;
/** A follower asks again no sooner than this. */
const MIN_POLL_INTERVAL_MS = 20;
const RECORDS_PER_KEY = 2;

/** What the system asks of one of the platform's services. */
export interface PlatformLoad {
  service: string;
  item: string;
  value: number;
  unit: string;
}

/** The load of 730 entries and 2,000 agents on the platform, as of today. */
export function platformLoads(slopes: Slopes): PlatformLoad[] {
  const configBytes = atSize(
    slopeNamed(slopes, 'log poll bytes'),
    TARGET.models,
  );
  const vmListBytes = atSize(slopeNamed(slopes, 'VM list bytes'), VMS);
  const keyBytes = slopeNamed(slopes, 'claim records').slope;
  const records = KEYS_PER_SECOND * RECORDS_PER_KEY;
  const pollsAtMost = MS_PER_SECOND / MIN_POLL_INTERVAL_MS;
  const claimPolls = TARGET.entries * Math.min(records, pollsAtMost);
  const idlePolls =
    (VMS * STREAMS_PER_NODE * MS_PER_SECOND) / INTERVALS.logPollMs;
  return [
    load('log', 'open long polls', VMS * STREAMS_PER_NODE, 'polls'),
    load('log', 'idle polls', idlePolls, '/s'),
    load('log', 'read for one change', VMS * configBytes, 'bytes'),
    load(
      'log',
      'read for configuration',
      VMS * configBytes * CONFIG_CHANGES_PER_SECOND,
      'bytes/s',
    ),
    load('log', 'appends for claims', records, 'records/s'),
    load('log', 'polls for claims', claimPolls, '/s'),
    load(
      'log',
      'read for claims',
      TARGET.entries * KEYS_PER_SECOND * keyBytes,
      'bytes/s',
    ),
    load('VM list', 'reads', TARGET.entries, '/s'),
    load('VM list', 'read', TARGET.entries * vmListBytes, 'bytes/s'),
  ];
}

function load(
  service: string,
  item: string,
  value: number,
  unit: string,
): PlatformLoad {
  return {service, item, value, unit};
}
