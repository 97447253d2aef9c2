/** Mulberry32, so that a seed always gives the same load. */
export function randomOf(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let t = Math.imul(state ^ (state >>> 15), 1 | state);
    t = (t + Math.imul(t ^ (t >>> 7), 61 | t)) ^ t;
    return ((t ^ (t >>> 14)) >>> 0) / 4_294_967_296;
  };
}

/** Number of events of a Poisson process with this mean. */
export function poisson(mean: number, random: () => number): number {
  const limit = Math.exp(-mean);
  let events = 0;
  for (let product = random(); product > limit; product *= random()) events++;
  return events;
}
