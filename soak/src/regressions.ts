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
  {
    seed: 113,
    cause:
      'a second SIGTERM ended a stopping process at once, with its requests: ' +
      'only the first one had a listener',
  },
  {
    seed: 239,
    cause:
      'SIGHUP ended a process that was starting: nothing listened to it yet',
  },
];
