import {compileConfig, ConfigFold} from '@banyanfold/config';
import {configOf} from '../fixtures.js';
import {cpuUsPerCall, retainedBytes} from '../measure.js';
import {toSlope, type Slope} from '../model/slope.js';

const MODEL_COUNTS = [75, 150, 300, 600, 1_200];

/** What a change of the configuration costs each node, by its models. */
export function configSlopes(): Slope[] {
  return [
    bytesSlope(),
    cpuSlope('config fold', text => foldOf(text)),
    cpuSlope('config fold and compile', text =>
      compileConfig(foldOf(text).state!.body),
    ),
    heapSlope(),
  ];
}

function recordText(models: number): string {
  return JSON.stringify({
    kind: 'publish',
    baseVersion: 0,
    nonce: 'b8a1f2f0-3c52-4a8e-9d5e-0b7a2d1c9e11',
    publisher: 'operator',
    body: configOf(models),
  });
}

/** Reads a record as a follower does: JSON, schema, validation, verdict. */
function foldOf(text: string): ConfigFold {
  const fold = new ConfigFold();
  fold.apply({offset: 1, value: JSON.parse(text) as unknown});
  return fold;
}

function bytesSlope(): Slope {
  const points = MODEL_COUNTS.map(models => ({
    x: models,
    y: Buffer.byteLength(recordText(models)),
  }));
  return toSlope('config record', 'bytes', 'model', points);
}

function cpuSlope(name: string, work: (text: string) => unknown): Slope {
  const points = MODEL_COUNTS.map(models => {
    const text = recordText(models);
    return {x: models, y: cpuUsPerCall(() => work(text))};
  });
  return toSlope(name, 'us', 'model', points);
}

function heapSlope(): Slope {
  const points = MODEL_COUNTS.map(models => {
    const text = recordText(models);
    const build = () => {
      const fold = foldOf(text);
      return {fold, compiled: compileConfig(fold.state!.body)};
    };
    return {x: models, y: retainedBytes(build)};
  });
  return toSlope('config in memory', 'heap bytes', 'model', points);
}
