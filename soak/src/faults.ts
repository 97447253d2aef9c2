import {
  exampleRoute,
  isStorable,
  ODD_ADDRESSES,
  ODD_CONFIGS,
  ODD_REGISTRATIONS,
  ODD_SYSTEM_RECORDS,
  OddWriter,
  type OddForm,
  type RunnerFault,
  type StoreFault,
} from '@banyanfold/platform/standins';
import type {LinkMode} from './faultProxy.js';
import {pause} from './pause.js';
import type {FaultKind, PlannedFault} from './soakPlan.js';
import type {EntryPlace, RunnerPlace, SoakSystem} from './soakSystem.js';

/** A route that the operator added, and when the store had it. */
export interface AddedRoute {
  name: string;
  atMs: number;
}

export interface FaultContext {
  system: SoakSystem;
  addedRoutes: AddedRoute[];
}

type FaultHandler = (
  context: FaultContext,
  fault: PlannedFault,
) => Promise<void>;

const LINK_MODES: readonly LinkMode[] = [
  'delay',
  'reset',
  'silent',
  'requests-lost',
  'answers-lost',
];
const STORE_FAULTS: readonly StoreFault[] = [
  'busy',
  'many',
  'reset',
  'silent',
  'truncated',
  'garbage',
];
const RUNNER_FAULTS: readonly RunnerFault[] = [
  'full',
  'failure',
  'reset-before-answer',
  'silent',
  'truncated',
  'cut-in-event',
  'unframed-reset',
  'crossed',
  'unsigned',
  'twice',
  'garbage',
];
const UNFRAMED_FAULTS: readonly RunnerFault[] = [
  'unframed',
  'unframed-stream',
  'unframed-closed-in-event',
  'unframed-reset-after-event',
];
const ANSWERS_SPOILT = 4;
const TOPICS = ['keyed.op', 'keyed.servers'] as const;
/**
 * A runner that leaves serves on for this long, longer than the bound within
 * which entries have to leave it alone.
 */
const LEAVING_MS = 5_000;
const PAUSE_S = 2;
/** Most odd records of another writer at once. */
const MAX_ODD_AT_ONCE = 3;
const SERVICES = ['drafting', 'desk'] as const;

/** Ways in which entries don't read the store's next record in time. */
const RECORD_LOSSES: ReadonlyArray<
  (system: SoakSystem, forMs: number) => void
> = [
  // Connections that are open fall silent; new ones work.
  ({entries}) => {
    for (const {storeLink} of entries) {
      storeLink.set('silent');
      storeLink.set('pass');
    }
  },
  ({platform}, forMs) => platform.store.missRecords(forMs),
  ({platform}) => platform.store.deleteHistory('keyed.servers'),
];

/** Begins a fault and resolves when it is over. */
export const FAULT_HANDLERS: Record<FaultKind, FaultHandler> = {
  'entry-term': async (context, fault) => {
    entryOf(context, fault).process.end('SIGTERM');
  },
  'entry-kill': async (context, fault) => {
    entryOf(context, fault).process.end('SIGKILL');
  },
  'entry-pause': async (context, fault) => {
    const {process} = entryOf(context, fault);
    process.signal('SIGSTOP');
    await pause(fault.forMs);
    process.signal('SIGCONT');
  },
  'entry-reload': async (context, fault) => {
    entryOf(context, fault).process.signal('SIGHUP');
  },
  'store-link': async (context, fault) => {
    const {storeLink} = entryOf(context, fault);
    storeLink.set(at(LINK_MODES, fault.variant));
    await pause(fault.forMs);
    storeLink.set('pass');
  },
  'store-down': async ({system}, fault) => {
    const {store} = system.platform;
    store.fault = at(STORE_FAULTS, fault.variant);
    await pause(fault.forMs);
    store.fault = 'none';
  },
  'store-forgets': async ({system}, fault) => {
    system.platform.store.deleteHistory(at(TOPICS, fault.variant));
  },
  'store-restore': async (context, fault) => {
    const {platform} = context.system;
    const copy = platform.store.snapshot();
    await pause(fault.forMs);
    platform.store.restore(copy);
    // The operator writes again what it had written.
    publishRoutes(context);
  },
  'runner-link': async (context, fault) => {
    const {proxy} = runnerOf(context, fault);
    proxy.set(at(LINK_MODES, fault.variant));
    await pause(fault.forMs);
    proxy.set('pass');
  },
  'runner-answers': async (context, fault) => {
    const {service} = runnerOf(context, fault);
    const spoilt = at(RUNNER_FAULTS, fault.variant);
    const queue = context.system.faults[service]!;
    for (let i = 0; i < ANSWERS_SPOILT; i++) queue.push(spoilt);
  },
  'runner-answers-unframed': async (context, fault) => {
    const {service} = runnerOf(context, fault);
    const queue = context.system.faults[service]!;
    const ending = at(UNFRAMED_FAULTS, fault.variant);
    for (let i = 0; i < ANSWERS_SPOILT; i++) queue.push(ending);
  },
  'callers-herd': async (context, fault) => {
    const {herd} = context.system;
    herd.entry = entryOf(context, fault).process;
    await pause(fault.forMs);
    herd.entry = undefined;
  },
  'runner-leaves': async (context, fault) => {
    const place = runnerOf(context, fault);
    context.system.drainRunner(place);
    await pause(LEAVING_MS);
    await replaceOnce(context, place);
  },
  'runner-leaves-unnoticed': async (context, fault) => {
    const place = runnerOf(context, fault);
    at(RECORD_LOSSES, fault.variant)(context.system, fault.forMs);
    context.system.drainRunner(place);
    await pause(LEAVING_MS);
    await replaceOnce(context, place);
  },
  'runner-gone': async (context, fault) => {
    const place = runnerOf(context, fault);
    at(RECORD_LOSSES, fault.variant)(context.system, fault.forMs);
    context.system.removeRegistration(place);
    await pause(LEAVING_MS);
    await replaceOnce(context, place);
  },
  // The store still calls it ready.
  'runner-says-leaving': async (context, fault) => {
    const place = runnerOf(context, fault);
    place.runner.isLeaving = true;
    await pause(LEAVING_MS);
    await replaceOnce(context, place);
  },
  'runner-asks-for-pause': async (context, fault) => {
    const {runner} = runnerOf(context, fault);
    runner.retryAfter = String(PAUSE_S);
    runner.fullUntilMs = performance.now() + fault.forMs;
    await pause(fault.forMs);
  },
  'odd-registrations': (context, fault) =>
    writeOdd(context, fault, [
      at(ODD_ADDRESSES, fault.target),
      ...pickOdd(ODD_REGISTRATIONS, fault),
    ]),
  'odd-system-records': (context, fault) =>
    writeOdd(context, fault, pickOdd(ODD_SYSTEM_RECORDS, fault)),
  'odd-config': async (context, fault) => {
    await writeOdd(context, fault, pickOdd(ODD_CONFIGS, fault));
    publishRoutes(context);
  },
  'runner-crash': async (context, fault) => {
    await replaceOnce(context, runnerOf(context, fault));
  },
  'config-change': async context => {
    const {addedRoutes} = context;
    const name = `added-${addedRoutes.length}`;
    addedRoutes.push({name, atMs: performance.now()});
    publishRoutes(context);
  },
};

/** Writes the operator's configuration, with all routes that it added. */
function publishRoutes({system, addedRoutes}: FaultContext): void {
  system.platform.publish(addedRoutes.map(({name}) => exampleRoute(name)));
}

/** One or several forms, one after the other in their table. */
function pickOdd(
  forms: readonly OddForm[],
  {target, variant}: PlannedFault,
): OddForm[] {
  const count = 1 + (variant % MAX_ODD_AT_ONCE);
  return Array.from({length: count}, (_, i) => at(forms, target + i));
}

/** Another writer leaves odd records for a while, then removes them. */
async function writeOdd(
  {system}: FaultContext,
  {target, forMs}: PlannedFault,
  forms: readonly OddForm[],
): Promise<void> {
  const service = at(SERVICES, target);
  // Longer ones would hold up entries beyond the bounds that are judged here.
  const storable = forms.filter(({value}) => isStorable(value(service)));
  const writer = new OddWriter(system.platform.store, storable, service);
  await pause(forMs);
  writer.stop();
}

/** Two faults may strike the same runner; the second finds another one there. */
async function replaceOnce(
  {system}: FaultContext,
  place: RunnerPlace,
): Promise<void> {
  if (system.runnerPlaces.includes(place)) await system.replaceRunner(place);
}

function entryOf({system}: FaultContext, {target}: PlannedFault): EntryPlace {
  return at(system.entries, target);
}

function runnerOf({system}: FaultContext, {target}: PlannedFault): RunnerPlace {
  return at(system.runnerPlaces, target);
}

function at<T>(values: readonly T[], index: number): T {
  return values[index % values.length]!;
}
