/** A seed that broke a rule once, and why. */
export interface Regression {
  seed: number;
  cause: string;
}

/** Played again by `npm run soak -- --regressions`. */
export const REGRESSIONS: readonly Regression[] = [
  {
    seed: 107,
    cause:
      'the head of a stream for another request went to the caller before it ' +
      'was checked, and the events of the next runner under it',
  },
];
