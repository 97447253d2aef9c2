import {atSize} from './fit.js';
import {REPORTS_PER_SECOND, VMS, reportBytes} from './multiply.js';
import {slopeNamed, type Slopes} from './slope.js';
import {ASSUMED, INTERVALS, TARGET} from './target.js';

const SECONDS_PER_DAY = 86_400;
const MS_PER_SECOND = 1_000;
/** Runners in a rack; the letter names none. */
const RACK_RUNNERS = 20;
/** The brief's larger weight store; the letter names none for this size. */
const LOADS_PER_SECOND = 2;
const FOLLOWER_BACKOFF_MS = 5_000;

/** What one kind of failure costs, from the slopes. */
export interface FailureCost {
  event: string;
  figure: string;
  value: number;
  unit: string;
}

/** Failures at the letter's size, by today's mechanisms. */
export function failureCosts(slopes: Slopes): FailureCost[] {
  return [
    ...replacements(slopes),
    ...domainLoss('rack', RACK_RUNNERS, slopes),
    ...domainLoss(
      'failure domain',
      TARGET.agents / TARGET.failureDomains,
      slopes,
    ),
    ...regionCut(slopes),
  ];
}

/** A new VM reads the configuration, asks peers and hears every agent. */
function replacements(slopes: Slopes): FailureCost[] {
  const events = TARGET.vmFailuresPerDay + TARGET.vmReplacementsPerDay;
  const whole = atSize(slopeNamed(slopes, 'log poll bytes'), TARGET.models);
  const list = atSize(slopeNamed(slopes, 'VM list bytes'), VMS);
  const reports = TARGET.agents * reportBytes(slopes);
  const peers = 8;
  const start = whole * (1 + peers) + list + reports;
  return [
    cost('VM', 'lost or replaced', events / (SECONDS_PER_DAY / 3_600), '/hour'),
    cost('VM', 'an entry reads to be ready', start, 'bytes'),
    cost('VM', 'of these, the first reports of all agents', reports, 'bytes'),
  ];
}

function domainLoss(
  event: string,
  runners: number,
  slopes: Slopes,
): FailureCost[] {
  const copies = runners * ASSUMED.copiesPerRunner;
  const copiesPerModel =
    (TARGET.agents * ASSUMED.copiesPerRunner) / TARGET.models;
  const failedPolls = TARGET.entries * runners * REPORTS_PER_SECOND;
  const whole = atSize(slopeNamed(slopes, 'log poll bytes'), TARGET.models);
  return [
    cost(event, 'runners lost', runners, ''),
    cost(event, 'copies lost', copies, ''),
    cost(
      event,
      'models orphaned, copies placed at random',
      TARGET.models * (runners / TARGET.agents) ** copiesPerModel,
      '',
    ),
    cost(
      event,
      'models orphaned, one copy of each',
      (TARGET.models * runners) / TARGET.agents,
      '',
    ),
    cost(event, 'failed polls a second, until listed', failedPolls, '/s'),
    cost(event, 'failed polls in a minute', failedPolls * 60, ''),
    cost(
      event,
      'to load the orphans of one copy, at 2 loads/s',
      (TARGET.models * runners) / TARGET.agents / LOADS_PER_SECOND,
      's',
    ),
    cost(
      event,
      'to load all lost copies, at 2 loads/s',
      copies / LOADS_PER_SECOND,
      's',
    ),
    cost(
      event,
      'configuration read when its VMs return',
      (VMS / TARGET.agents) * runners * whole,
      'bytes',
    ),
  ];
}

/** The log is in one region; the nodes of another are cut off from it. */
function regionCut(slopes: Slopes): FailureCost[] {
  const vms = VMS / TARGET.regions;
  const streams = vms * 2;
  const list = atSize(slopeNamed(slopes, 'VM list bytes'), VMS);
  const agents = TARGET.agents / TARGET.regions;
  const entries = TARGET.entries / TARGET.regions;
  const across =
    entries * (TARGET.agents - agents) * REPORTS_PER_SECOND +
    (TARGET.entries - entries) * agents * REPORTS_PER_SECOND;
  const pollsWhileCut = (streams * MS_PER_SECOND) / (FOLLOWER_BACKOFF_MS / 2);
  return [
    cost('region cut', 'nodes cut off from the log', vms, ''),
    cost('region cut', 'polls across the cut that fail', across, '/s'),
    cost('region cut', 'tries of followers while cut', pollsWhileCut, '/s'),
    cost(
      'region cut',
      'reads at the return, spread by full jitter',
      streams + entries,
      `in ${FOLLOWER_BACKOFF_MS / MS_PER_SECOND} s`,
    ),
    cost('region cut', 'VM list read at the return', entries * list, 'bytes'),
    cost(
      'region cut',
      'idle polls of the log before it',
      (streams * MS_PER_SECOND) / INTERVALS.logPollMs,
      '/s',
    ),
  ];
}

function cost(
  event: string,
  figure: string,
  value: number,
  unit: string,
): FailureCost {
  return {event, figure, value, unit};
}
