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

/**
 * Sends requests in turn, straight to the engine and through the system, so
 * that whatever slows the machine slows both.
 */
export async function measureLatency(
  direct: StreamTarget,
  through: StreamTarget,
  pairs: number,
): Promise<{direct: PathLatency; through: PathLatency}> {
  const directTimings: StreamTiming[] = [];
  const throughTimings: StreamTiming[] = [];
  for (let pair = 0; pair < pairs; pair++) {
    directTimings.push(await timedStream(numbered(direct, pair)));
    throughTimings.push(await timedStream(numbered(through, pair)));
  }
  return {direct: summarize(directTimings), through: summarize(throughTimings)};
}

/** Each request has a prompt of its own, so that no cache helps one path. */
function numbered(target: StreamTarget, pair: number): StreamTarget {
  return {...target, prompt: `${target.url} ${pair} ${target.prompt}`};
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
