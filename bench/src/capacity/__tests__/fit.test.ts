import {describe, expect, it} from 'vitest';
import {atSize, fitLine} from '../model/fit.js';
import {toSlope, valueAt} from '../model/slope.js';

describe('fitLine', () => {
  it('finds a line that the points lie on', () => {
    const fit = fitLine([1, 2, 4, 8].map(x => ({x, y: 5 + 3 * x})));
    expect(fit.intercept).toBeCloseTo(5);
    expect(fit.slope).toBeCloseTo(3);
    expect(fit.maxResidualShare).toBeCloseTo(0);
    expect(fit.rSquared).toBeCloseTo(1);
    expect(fit.isLinear).toBe(true);
    expect(atSize(fit, 100)).toBeCloseTo(305);
  });

  it('says of a square that it is no line', () => {
    const fit = fitLine([1, 2, 4, 8, 16].map(x => ({x, y: x ** 2})));
    expect(fit.isLinear).toBe(false);
    expect(fit.bend).toBeGreaterThan(2);
  });

  it('says so also where the larger sizes hide the smaller ones', () => {
    const points = [20, 100, 500, 2_000].map(x => ({x, y: x ** 1.5}));
    expect(fitLine(points).isLinear).toBe(false);
  });

  it('takes a cost that does not grow for linear', () => {
    const fit = fitLine([1, 2, 3, 4].map(x => ({x, y: 7})));
    expect(fit.slope).toBe(0);
    expect(fit.isLinear).toBe(true);
  });

  it.each([
    ['three sizes', [1, 2, 3]],
    ['four times one size', [2, 2, 2, 2]],
  ])('refuses %s', (_name, sizes) => {
    expect(() => fitLine(sizes.map(x => ({x, y: x})))).toThrow(/sizes/);
  });
});

describe('valueAt', () => {
  const points = [
    {x: 0, y: 0},
    {x: 10, y: 100},
    {x: 20, y: 120},
    {x: 40, y: 160},
  ];
  const slope = toSlope('bent', 'us', 'call', points);

  it.each([
    [0, 0],
    [5, 50],
    [10, 100],
    [30, 140],
  ])('follows the measured points at %d', (size, value) => {
    expect(valueAt(slope, size)).toBeCloseTo(value);
  });

  it('follows the line beyond them', () => {
    expect(valueAt(slope, 100)).toBe(atSize(slope, 100));
  });
});
