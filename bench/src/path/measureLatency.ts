import {quantile} from '../common/quantiles.js';
import {
  timedStream,
  type StreamTarget,
  type StreamTiming,
} from './timedStream.js';

/** Quantiles of one path, in ms. */
export interface PathLatency {
  firstTokenP50Ms: number;
  firstTokenP99Ms: number;
  gapP50Ms: number;
  gapP99Ms: number;
  incomplete: number;
}

const P50 = 0.5;
const P99 = 0.99;

/** The ways to the same engine that are compared. */
export const PATHS_COMPARED = ['direct', 'bareHops', 'through'] as const;

export type ComparedPath = (typeof PATHS_COMPARED)[number];

/**
 * Sends requests by each way in turn, so that whatever slows the machine slows
 * all of them.
 */
export async function measureLatency(
  targets: Record<ComparedPath, StreamTarget>,
  rounds: number,
): Promise<Record<ComparedPath, PathLatency>> {
  const timings: Record<ComparedPath, StreamTiming[]> = {
    direct: [],
    bareHops: [],
    through: [],
  };
  for (let round = 0; round < rounds; round++) {
    for (const path of PATHS_COMPARED) {
      timings[path].push(await timedStream(numbered(targets[path], round)));
    }
  }
  return {
    direct: summarize(timings.direct),
    bareHops: summarize(timings.bareHops),
    through: summarize(timings.through),
  };
}

/** Each request has a prompt of its own, so that no cache helps one path. */
function numbered(target: StreamTarget, round: number): StreamTarget {
  return {...target, prompt: `${target.url} ${round} ${target.prompt}`};
}

function summarize(timings: StreamTiming[]): PathLatency {
  const firstMs = timings.map(timing => timing.firstTokenMs);
  const gapsMs = timings.flatMap(timing => timing.gapsMs);
  return {
    firstTokenP50Ms: quantile(firstMs, P50),
    firstTokenP99Ms: quantile(firstMs, P99),
    gapP50Ms: quantile(gapsMs, P50),
    gapP99Ms: quantile(gapsMs, P99),
    incomplete: timings.filter(timing => !timing.complete).length,
  };
}
