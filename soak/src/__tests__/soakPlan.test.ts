import {describe, expect, it} from 'vitest';
import {planFaults} from '../soakPlan.js';

describe('planFaults', () => {
  it('gives the same faults for the same seed', () => {
    const options = {seed: 5, lengthMs: 4_000};
    expect(planFaults(options)).toEqual(planFaults(options));
    expect(planFaults(options)).toMatchSnapshot();
  });

  it('gives others for another seed', () => {
    const lengthMs = 4_000;
    const one = planFaults({seed: 5, lengthMs});
    expect(planFaults({seed: 6, lengthMs})).not.toEqual(one);
  });
});
