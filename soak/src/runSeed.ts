import {ask, eventsOf, type SeenRequest} from '@banyanfold/platform/standins';
import {CALL_KINDS, Caller} from './callers.js';
import {FAULT_HANDLERS, type FaultContext} from './faults.js';
import {
  judge,
  type ConfigProbe,
  type PlayedFault,
  type SoakRecord,
  type Violation,
} from './judge.js';
import {pause} from './pause.js';
import {createDraw} from './random.js';
import {planFaults, type PlannedFault} from './soakPlan.js';
import {SoakSystem, STREAM_EVENTS} from './soakSystem.js';

export interface RunSeedOptions {
  seed: number;
  /** The span in which faults begin. */
  lengthMs: number;
  /** For settings and logs. */
  folder: string;
  /** Whether the rules with a bound in time count. */
  isTimed: boolean;
}

export interface SeedVerdict {
  seed: number;
  violations: Violation[];
  faults: number;
  calls: number;
  /** Answered by a runner, whole. */
  served: number;
}

const CALLERS = 8;
const PROBE_INTERVAL_MS = 250;
/** Seeds of callers are kept apart from those of the plan. */
const CALLER_SEEDS = 1_000_000;
/** After the power is back in all, this is the time to be served again. */
const RECOVERY_MS = 20_000;
const START_MS = 20_000;
const RECOVERY_POLL_MS = 200;

/**
 * Plays the faults of one seed against the programs, and judges what was seen.
 *
 * @example
 * const {violations} = await runSeed({seed: 7, lengthMs: 10_000, folder,
 *   isTimed: true});
 */
export async function runSeed(options: RunSeedOptions): Promise<SeedVerdict> {
  const {seed, lengthMs, folder, isTimed} = options;
  const system = new SoakSystem(folder);
  const processes = () => system.entries.map(({process}) => process);
  try {
    await system.start();
    const isUp = await untilServed(system, START_MS);
    if (isUp.length > 0) throw new Error(`never began: ${isUp.join('; ')}`);
    const callers = Array.from({length: CALLERS}, (_, i) => {
      const draw = createDraw(seed * CALLERS + i + CALLER_SEEDS);
      return new Caller({name: `c${i}`, entries: processes(), draw});
    });
    const running = callers.map(caller => caller.run());
    const context: FaultContext = {system, addedRoutes: []};
    const probes: ConfigProbe[] = [];
    const stopProbing = startProbing(context, probes);
    const faults = await playFaults(context, planFaults({seed, lengthMs}));
    const notRecovered = await untilServed(system, RECOVERY_MS);
    await stopProbing();
    for (const caller of callers) caller.stop();
    await Promise.all(running);
    const record: SoakRecord = {
      calls: callers.flatMap(({calls}) => calls),
      seen: seenById(system),
      orders: system.runners.flatMap(({orders}) => orders),
      overfilled: system.runners.flatMap(({overfilled}) => overfilled),
      faults,
      probes,
      ownEnds: processes().flatMap(({name, ownEnds}) =>
        ownEnds.map(end => `${name}: ${end}`),
      ),
      notRecovered,
    };
    const {calls} = record;
    const served = calls.filter(({seen}) => seen.status === 200 && !seen.isCut);
    return {
      seed,
      violations: judge(record, isTimed),
      faults: faults.length,
      calls: calls.length,
      served: served.length,
    };
  } finally {
    await system.stop();
  }
}

/** Begins each fault at its time, and waits until the last one is over. */
async function playFaults(
  context: FaultContext,
  planned: readonly PlannedFault[],
): Promise<PlayedFault[]> {
  const startMs = performance.now();
  const playing = planned.map(async (fault): Promise<PlayedFault> => {
    await pause(fault.atMs - (performance.now() - startMs));
    const fromMs = performance.now();
    const {entries} = context.system;
    const struck = entries[fault.target % entries.length]!.process.name;
    const isOneEntry = fault.kind.startsWith('entry-');
    const isOneLink = fault.kind === 'store-link';
    await FAULT_HANDLERS[fault.kind](context, fault);
    return {
      kind: fault.kind,
      fromMs,
      toMs: performance.now(),
      entry: isOneEntry || isOneLink ? struck : undefined,
    };
  });
  return Promise.all(playing);
}

/** Asks every entry for the routes that were added last. */
function startProbing(
  {system, addedRoutes}: FaultContext,
  probes: ConfigProbe[],
): () => Promise<void> {
  let isStopped = false;
  const probe = async () => {
    const added = addedRoutes.at(-1);
    if (!added) return;
    await Promise.all(
      system.entries.map(async ({process}) => {
        const entryStart = process.starts;
        const askedMs = performance.now();
        const {status} = await ask({
          port: process.callersPort,
          route: added.name,
          id: `probe-${process.name}-${Math.round(askedMs)}`,
          headers: {'deadline-ms': '1000'},
        });
        if (status !== 200 && status !== 404) return;
        if (process.starts !== entryStart) return;
        probes.push({
          entry: process.name,
          entryStart,
          route: added.name,
          addedMs: added.atMs,
          askedMs,
          isKnown: status === 200,
        });
      }),
    );
  };
  const running = (async () => {
    while (!isStopped) {
      await probe();
      await pause(PROBE_INTERVAL_MS);
    }
  })();
  return () => {
    isStopped = true;
    return running;
  };
}

/** What is still not served at some entry when the time is over. */
async function untilServed(
  system: SoakSystem,
  timeMs: number,
): Promise<string[]> {
  const endMs = performance.now() + timeMs;
  let asked = 0;
  const missing = system.entries.flatMap(({process}) =>
    Object.entries(CALL_KINDS).map(([kind, call]) => ({process, kind, call})),
  );
  while (missing.length > 0 && performance.now() < endMs) {
    const {process, call} = missing[0]!;
    const seen = await ask({
      port: process.callersPort,
      route: call.route,
      id: `after-${process.name}-${Math.round(endMs)}-${++asked}`,
      headers: {...call.headers, 'deadline-ms': '2000'},
      body: 'x',
    });
    const events = eventsOf(seen.text).length;
    const isWhole = !call.isStream || events === STREAM_EVENTS;
    if (seen.status === 200 && isWhole) missing.shift();
    else await pause(RECOVERY_POLL_MS);
  }
  return missing.map(({process, kind}) => `${kind} at ${process.name}`);
}

function seenById({runners}: SoakSystem): SoakRecord['seen'] {
  const byId = new Map<string, SeenRequest[]>();
  for (const seen of runners.flatMap(runner => runner.seen)) {
    const known = byId.get(seen.requestId) ?? [];
    known.push(seen);
    byId.set(seen.requestId, known);
  }
  return byId;
}
