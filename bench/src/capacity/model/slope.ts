import {atSize, fitLine, type Fit, type Point} from './fit.js';

/** A measured cost as a line over some size. */
export interface Slope extends Fit {
  name: string;
  /** What is counted along the line, for example `runner`. */
  per: string;
  /** The unit of the cost, for example `bytes`. */
  unit: string;
  points: Point[];
}

/** Names a set of measurements and fits it. */
export function toSlope(
  name: string,
  unit: string,
  per: string,
  points: Point[],
): Slope {
  return {name, unit, per, points, ...fitLine(points)};
}

/** All slopes of a run, by name. */
export type Slopes = Record<string, Slope>;

/** @throws when the run has not measured it. */
export function slopeNamed(slopes: Slopes, name: string): Slope {
  const slope = slopes[name];
  if (!slope) throw new Error(`no slope is named ${name}`);
  return slope;
}

/**
 * The cost at a size: between the measured points along them, beyond them by
 * the line. Processor time per call falls with the rate, as the compiler
 * warms up, so the line alone is too high at the low rates of a small run.
 */
export function valueAt(slope: Slope, size: number): number {
  const points = [...slope.points].sort((a, b) => a.x - b.x);
  const next = points.findIndex(({x}) => x >= size);
  const above = points[next];
  if (!above) return atSize(slope, size);
  const below = points[next - 1];
  if (!below) return above.x === size ? above.y : atSize(slope, size);
  const share = (size - below.x) / (above.x - below.x);
  return below.y + share * (above.y - below.y);
}
