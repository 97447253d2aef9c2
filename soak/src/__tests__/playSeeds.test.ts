import {expect, it} from 'vitest';
import {playSeeds} from '../playSeeds.js';

// Guards against a run that reports seeds as played which it left out.
it('plays each seed, also the seed 0', async () => {
  const played: number[] = [];
  const broken = await playSeeds({
    seeds: [0, 1, 2, 3],
    parallel: 2,
    play: seed => {
      played.push(seed);
      return Promise.resolve(seed !== 2);
    },
  });
  expect(played).toEqual([0, 1, 2, 3]);
  expect(broken).toEqual([2]);
});
