import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

const US_PER_MS = 1_000;
const MIN_ROUND_MS = 60;
const ROUNDS = 5;
const RETAINED_TIMES = 10;

let collect: (() => void) | undefined;

/** Collects garbage now; works without a flag at the start. */
export function collectGarbage(): void {
  if (!collect) {
    setFlagsFromString('--expose-gc');
    collect = runInNewContext('gc') as () => void;
  }
  collect();
  collect();
}

/**
 * Heap and array buffers that what `build` returns keeps alive, in bytes. It
 * is built a few times over, so that what the collector leaves or compiles
 * meanwhile is small beside it.
 */
export function retainedBytes(build: () => unknown): number {
  build();
  collectGarbage();
  const before = process.memoryUsage();
  const kept = Array.from({length: RETAINED_TIMES}, build);
  collectGarbage();
  const after = process.memoryUsage();
  const heap = after.heapUsed - before.heapUsed;
  const buffers = after.arrayBuffers - before.arrayBuffers;
  // Read after the second collection, so that all are still alive there.
  return (heap + buffers) / kept.length;
}

/**
 * Processor time of one call in microseconds: the median of a few rounds, so
 * that a round which others disturbed doesn't count. Garbage collection of
 * the process is included, as it is in a daemon.
 */
export function cpuUsPerCall(call: () => unknown): number {
  const calls = callsPerRound(call);
  const rounds: number[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    rounds.push(cpuUsOf(() => repeat(call, calls)) / calls);
  }
  return median(rounds);
}

export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/** User and system time of this process since an earlier reading. */
export function cpuUsSince(before: NodeJS.CpuUsage): number {
  const {user, system} = process.cpuUsage(before);
  return user + system;
}

function cpuUsOf(work: () => void): number {
  const before = process.cpuUsage();
  work();
  return cpuUsSince(before);
}

/** As many as fill a round; the first calls warm the compiler up. */
function callsPerRound(call: () => unknown): number {
  let calls = 1;
  for (;;) {
    const tookUs = cpuUsOf(() => repeat(call, calls));
    if (tookUs >= MIN_ROUND_MS * US_PER_MS) return calls;
    calls *= 2;
  }
}

function repeat(call: () => unknown, calls: number): void {
  for (let done = 0; done < calls; done++) call();
}
