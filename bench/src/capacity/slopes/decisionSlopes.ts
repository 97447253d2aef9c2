import {compileConfig} from '@banyanfold/config';
import {decidePlacement, decideRoute} from '@banyanfold/decisions';
import {
  configOf,
  modelName,
  placementViewOf,
  routingRequestOf,
  routingViewOf,
} from '../fixtures.js';
import {cpuUsPerCall, retainedBytes} from '../measure.js';
import {toSlope, type Slope} from '../model/slope.js';
import {ASSUMED, TARGET} from '../model/target.js';

const RUNNER_COUNTS = [20, 100, 250, 500, 1_000, 2_000];
const MODEL_COUNTS = [50, 150, 300, 600, 1_200];
const NOW_MS = 1_000;
const RANDOM = () => 0.5;

/** Processor time of the pure decisions on views of growing size. */
export function decisionSlopes(): Slope[] {
  return [routeSlope(), resolveSlope(), placementSlope(), viewHeapSlope()];
}

function routeSlope(): Slope {
  const points = RUNNER_COUNTS.map(runners => {
    const view = routingViewOf(runners);
    let request = 0;
    const y = cpuUsPerCall(() => {
      const asked = routingRequestOf(request++ % Math.min(runners, 1_200));
      return decideRoute(view, asked, NOW_MS, undefined, RANDOM);
    });
    return {x: runners, y};
  });
  return toSlope('decideRoute', 'us', 'runner in the view', points);
}

/** The selector that fits stands, on average, in the middle of the list. */
function resolveSlope(): Slope {
  const points = MODEL_COUNTS.map(models => {
    const compiled = compileConfig(configOf(models));
    let request = 0;
    const y = cpuUsPerCall(() =>
      compiled.resolve({
        caller: 'counter',
        desk: 'counter',
        requestedName: modelName(request++ % models),
        headers: {},
      }),
    );
    return {x: models, y};
  });
  const per = `model, with ${ASSUMED.selectors} selectors`;
  return toSlope('resolve', 'us', per, points);
}

function placementSlope(): Slope {
  const points = RUNNER_COUNTS.map(runners => {
    const models = Math.round((TARGET.models * runners) / TARGET.agents);
    const view = placementViewOf(runners, models);
    return {x: runners, y: cpuUsPerCall(() => decidePlacement(view, 1e6))};
  });
  return toSlope('decidePlacement', 'us', 'runner (0.6 models each)', points);
}

/** A runner in the view, without the connection and client of its agent. */
function viewHeapSlope(): Slope {
  const points = RUNNER_COUNTS.map(runners => ({
    x: runners,
    y: retainedBytes(() => routingViewOf(runners)),
  }));
  return toSlope('view in memory', 'heap bytes', 'runner', points);
}
