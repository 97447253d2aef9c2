import type {Slope, Slopes} from '../model/slope.js';

/** Round lines, so that the multiplication can be followed by hand. */
const LINES: Record<string, [atZero: number, each: number]> = {
  decideRoute: [0, 1],
  decidePlacement: [0, 10],
  'config fold': [0, 10],
  'config fold and compile': [0, 20],
  'config in memory': [0, 1_000],
  'claim records': [0, 400],
  'claim fold': [0, 10],
  'claims in memory': [0, 500],
  'report bytes by copies': [800, 100],
  'report bytes by prefixes': [800, 20],
  'report bytes by served': [800, 20],
  'VM list bytes': [0, 100],
  'VM list read cpu': [1_000, 2],
  'log poll bytes': [300, 100],
  'agent cpu': [20_000, 500],
  'agent rss': [80e6, 50_000],
  'entry cpu, full reports': [40_000, 800],
  'entry cpu, lean reports': [40_000, 700],
  'entry rss, full reports': [100e6, 100_000],
  'entry rss, lean reports': [100e6, 80_000],
  'entry status bytes, full': [100, 180],
  'entry status bytes, lean': [100, 180],
  'request cpu at the entry': [1_000, 1],
  'stream cpu at the entry': [1_000, 30],
  'open request': [20e6, 10_000],
};

const SIZES = [0, 100, 1_000, 2_000];

export const ROUND_SLOPES: Slopes = Object.fromEntries(
  Object.entries(LINES).map(([name, line]) => [name, slopeOf(name, ...line)]),
);

function slopeOf(name: string, intercept: number, slope: number): Slope {
  return {
    name,
    unit: '',
    per: '',
    intercept,
    slope,
    maxResidualShare: 0,
    rSquared: 1,
    bend: 1,
    isLinear: true,
    points: SIZES.map(x => ({x, y: intercept + slope * x})),
  };
}
