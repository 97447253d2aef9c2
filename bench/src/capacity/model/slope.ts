import {fitLine, type Fit, type Point} from './fit.js';

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
