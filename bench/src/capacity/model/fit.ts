/** One measurement: a size, and what it cost. */
export interface Point {
  x: number;
  y: number;
}

/** A straight line through measurements, and how far they lie off it. */
export interface Fit {
  intercept: number;
  slope: number;
  /** The largest distance of a point, as a share of the largest value. */
  maxResidualShare: number;
  /** 1 where the line explains everything, 0 where it explains nothing. */
  rSquared: number;
  /** The slope of the larger half of the sizes over that of the smaller. */
  bend: number;
  /** False where the line must not be used beyond the sizes measured. */
  isLinear: boolean;
}

/** A fit with a larger residual than this isn't called linear. */
const LINEAR_RESIDUAL_SHARE = 0.1;
/** Nor one whose halves differ in slope by more than this factor. */
const LINEAR_BEND = 2;
/** A cost that grows by less than this over all sizes counts as flat. */
const FLAT_SHARE = 0.2;
const MIN_POINTS = 4;

/**
 * Fits a line by least squares.
 *
 * @throws when there are fewer than four points, or all at one size.
 * @example fitLine([{x: 1, y: 3}, {x: 2, y: 5}, {x: 3, y: 7}, {x: 4, y: 9}])
 */
export function fitLine(points: readonly Point[]): Fit {
  if (points.length < MIN_POINTS) {
    throw new Error(`a fit needs ${MIN_POINTS} sizes, got ${points.length}`);
  }
  const {slope, intercept} = leastSquares(points);
  const residuals = points.map(({x, y}) => y - (intercept + slope * x));
  const meanY = mean(points.map(({y}) => y));
  const varianceY = mean(points.map(({y}) => (y - meanY) ** 2));
  const unexplained = mean(residuals.map(residual => residual ** 2));
  const largestY = Math.max(...points.map(({y}) => Math.abs(y)));
  const largest = Math.max(...residuals.map(Math.abs));
  const maxResidualShare = largestY === 0 ? 0 : largest / largestY;
  const bend = bendOf(points);
  return {
    intercept,
    slope,
    maxResidualShare,
    rSquared: varianceY === 0 ? 1 : 1 - unexplained / varianceY,
    bend,
    isLinear:
      maxResidualShare <= LINEAR_RESIDUAL_SHARE &&
      bend <= LINEAR_BEND &&
      bend >= 1 / LINEAR_BEND,
  };
}

function leastSquares(points: readonly Point[]) {
  const meanX = mean(points.map(({x}) => x));
  const meanY = mean(points.map(({y}) => y));
  const varianceX = mean(points.map(({x}) => (x - meanX) ** 2));
  if (varianceX === 0) throw new Error('a fit needs points of several sizes');
  const covariance = mean(points.map(({x, y}) => (x - meanX) * (y - meanY)));
  const slope = covariance / varianceX;
  return {slope, intercept: meanY - slope * meanX};
}

/** 1 for a line and for a cost that hardly grows. */
function bendOf(points: readonly Point[]): number {
  const sorted = [...points].sort((a, b) => a.x - b.x);
  const half = Math.ceil(sorted.length / 2);
  const values = sorted.map(({y}) => y);
  const range = Math.max(...values) - Math.min(...values);
  if (range <= FLAT_SHARE * Math.max(...values)) return 1;
  const lower = leastSquares(sorted.slice(0, half)).slope;
  const upper = leastSquares(sorted.slice(-half)).slope;
  return upper / lower;
}

/** What the line says at a size. */
export function atSize(
  {intercept, slope}: Pick<Fit, 'intercept' | 'slope'>,
  size: number,
): number {
  return intercept + slope * size;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
