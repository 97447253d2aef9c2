export interface PlaySeedsOptions {
  seeds: readonly number[];
  /** How many are played at once. */
  parallel: number;
  /** Resolves to whether the seed broke no rule. */
  play: (seed: number) => Promise<boolean>;
}

/**
 * Plays each seed once, several at a time.
 *
 * @returns the seeds that broke a rule or could not be played.
 * @example await playSeeds({seeds: [1, 2], parallel: 2, play})
 */
export async function playSeeds({
  seeds,
  parallel,
  play,
}: PlaySeedsOptions): Promise<number[]> {
  const waiting = [...seeds];
  const broken: number[] = [];
  const work = async () => {
    while (waiting.length > 0) {
      const seed = waiting.shift()!;
      if (!(await play(seed))) broken.push(seed);
    }
  };
  await Promise.all(Array.from({length: parallel}, work));
  return broken;
}
