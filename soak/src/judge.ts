import {
  parseEvents,
  type AcceptedOrder,
  type ReceivedRequest,
} from '@banyanfold/platform/standins';
import {CALL_KINDS, type Call} from './callers.js';
import {sentAfterLeaving, sentInPause, sentToLeaving} from './noticeRules.js';
import {NOT_RUN_STATUSES} from './notRunStatuses.js';
import type {FaultKind} from './soakPlan.js';
import type {
  ConfigProbe,
  PlayedFault,
  SoakRecord,
  Violation,
} from './soakRecord.js';
import {STREAM_EVENTS} from './soakSystem.js';
import {brokenStreams, mixedStreams} from './streamRules.js';

/** A fault is felt this long after it is over: silent connections time out. */
const AFTER_EFFECT_MS = 4_000;
/** A change is in force after this long, as deployments ask. */
const CONFIG_BOUND_MS = 2_000;
/** A route's timeout of 3 s, and what a busy machine adds. */
const HELD_BOUND_MS = 8_000;

const RUNNER_FAULTS: ReadonlySet<FaultKind> = new Set([
  'runner-link',
  'runner-leaves',
  'runner-says-leaving',
  'runner-leaves-unnoticed',
  'runner-gone',
  'runner-crash',
]);
const STORE_FAULTS: ReadonlySet<FaultKind> = new Set([
  'store-link',
  'store-down',
  'store-forgets',
]);

/** Records of another writer, which excuse nothing. */
const ODD_FAULTS: ReadonlySet<FaultKind> = new Set([
  'odd-registrations',
  'odd-system-records',
  'odd-config',
]);
/** Calls that a verdict describes where one rule finds many. */
const MAX_DESCRIBED = 3;
/** Runners that requests may crash before their sendings count. */
const FREE_CRASHES = 3;
/** Least share of the calls that are answered while callers herd. */
const HERD_SERVED_SHARE = 0.75;
const MIN_HERD_CALLS = 20;
/** Sendings that are allowed once all entries can know of the last of them. */
const SENDINGS_AFTER = 3;

type Rule = (record: SoakRecord) => string[];

/** What must hold, whatever is disturbed. */
const RULES: Record<string, Rule> = {
  'answer is whole and the caller’s own': ({calls, seen}) =>
    calls
      .filter(call => !isWholeOrFailed(call))
      .map(call => describe(call, seen)),
  'stream has no gap and no repeat': ({calls, seen}) =>
    calls
      .filter(({kind}) => CALL_KINDS[kind]!.isStream)
      .filter(call => !isPrefix(parseEvents(call.seen.text)))
      .map(call => describe(call, seen)),
  'a stream has events of one version': ({streams, calls, seen}) => [
    ...mixedStreams(streams),
    ...calls.filter(hasSeveralVersions).map(call => describe(call, seen)),
  ],
  'a stream that is taken up has no gap and no repeat': ({streams}) =>
    brokenStreams(streams),
  'what may not be repeated runs once': ({calls, seen}) =>
    calls
      .filter(({kind}) => !CALL_KINDS[kind]!.isRepeatable)
      .filter(({id}) => runsOf(seen, id).length > 1)
      .map(call => describe(call, seen)),
  'what is refused has not run': ({calls, seen}) =>
    calls
      .filter(call => NOT_RUN_STATUSES.has(call.seen.status))
      .filter(({id}) => runsOf(seen, id).length > 0)
      .map(call => describe(call, seen)),
  'no answer is cut but by a fault': record =>
    record.calls
      .filter(call => isCutWithoutCause(call, record))
      .map(call => describe(call, record.seen)),
  'a runner that says it is leaving is left alone': sentToLeaving,
  'callers that herd to one entry are served': herdsNotServed,
  'callers are served as before after odd headers': refusedAfterOdd,
  'what crashes runners is not sent on': record => sentOn(record),
  'one holder has a fencing token': ({orders}) => sharedTokens(orders),
  'no runner is ordered to hold more than fits': ({overfilled}) =>
    overfilled.map(order => JSON.stringify(order)),
  'no version goes back': ({probes}) => probesGoneBack(probes),
  'no process ends by itself': ({ownEnds}) => [...ownEnds],
  'all is served again after the faults': ({notRecovered}) => [...notRecovered],
};

/** Rules with a bound in time, for machines that are not too busy for them. */
const TIMED_RULES: Record<string, Rule> = {
  'a runner that the store calls leaving is left alone': sentAfterLeaving,
  'a runner has the pause that it asked for': sentInPause,
  'a change is in force in time': record =>
    record.probes
      .filter(probe => isLate(probe, record))
      .map(probe => JSON.stringify(probe)),
  'no caller is held past its time': record =>
    record.calls
      .filter(({startedMs, endedMs}) => endedMs - startedMs > HELD_BOUND_MS)
      .filter(call => !isEntryStruck(call.entry, call, record.faults))
      .map(call => describe(call, record.seen)),
};

/** Calls that are not served after the odd caller, where such ones were. */
function refusedAfterOdd({calls, seen, oddCaller}: SoakRecord): string[] {
  if (!oddCaller) return [];
  const isServed = (call: Call) =>
    call.seen.status === 200 && !call.seen.isTruncated;
  const {beforeMs, fromMs, overMs} = oddCaller;
  const before = calls.filter(
    ({startedMs, endedMs}) => startedMs >= beforeMs && endedMs <= fromMs,
  );
  const after = calls.filter(({startedMs}) => startedMs >= overMs);
  const notBefore = before.filter(call => !isServed(call));
  const notAfter = after.filter(call => !isServed(call));
  const isMore =
    notAfter.length * before.length > notBefore.length * after.length;
  if (!isMore) return [];
  const some = notAfter.slice(0, MAX_DESCRIBED).map(c => describe(c, seen));
  return [
    `${notAfter.length} of ${after.length} not, ` +
      `${notBefore.length} of ${before.length} before: ${some.join('; ')}`,
  ];
}

/** Answered calls of callers that herd to an entry, with no other fault near. */
function herdsNotServed({calls, faults}: SoakRecord): string[] {
  const others = faults.filter(
    ({kind}) => kind !== 'callers-herd' && !ODD_FAULTS.has(kind),
  );
  const herds = faults.filter(({kind}) => kind === 'callers-herd');
  const herded = calls.filter(
    call =>
      herds.some(
        ({fromMs, toMs}) => call.startedMs >= fromMs && call.endedMs <= toMs,
      ) && !others.some(fault => overlaps(fault, call)),
  );
  if (herded.length < MIN_HERD_CALLS) return [];
  const served = herded.filter(
    ({seen}) => seen.status === 200 && !seen.isTruncated,
  );
  if (served.length >= herded.length * HERD_SERVED_SHARE) return [];
  return [`${served.length} of ${herded.length}`];
}

/** @param isTimed whether the rules with a bound in time count too. */
export function judge(record: SoakRecord, isTimed: boolean): Violation[] {
  const rules = {...RULES, ...(isTimed && TIMED_RULES)};
  return Object.entries(rules).flatMap(([rule, find]) =>
    find(record).map(what => ({rule, what})),
  );
}

function isWholeOrFailed({id, kind, seen}: Call): boolean {
  if (seen.isTruncated || seen.status >= 300) return true;
  const isOwn = seen.headers['request-id'] === id;
  if (!isOwn || seen.headers['server-stamp'] === undefined) return false;
  if (!CALL_KINDS[kind]!.isStream) return /^answer of \S+$/.test(seen.text);
  return parseEvents(seen.text).length === STREAM_EVENTS;
}

function isPrefix(events: readonly string[]): boolean {
  return events.every((event, i) => {
    const [token] = event.split(' of ');
    return token === `${i + 1} token ${i + 1}`;
  });
}

function hasSeveralVersions({seen}: Call): boolean {
  const versions = parseEvents(seen.text).map(event => event.split(' of ')[1]);
  return new Set(versions).size > 1;
}

function runsOf(
  seen: SoakRecord['seen'],
  id: string,
): readonly ReceivedRequest[] {
  return (seen.get(id) ?? []).filter(({isExecuted: ran}) => ran);
}

/** A request that a runner ran and whose caller got no end, undisturbed. */
function isCutWithoutCause(call: Call, {seen, faults}: SoakRecord): boolean {
  if (!call.seen.isTruncated && call.seen.status !== 0) return false;
  const runs = runsOf(seen, call.id);
  if (runs.length === 0 || runs.some(({fault}) => fault)) return false;
  const isRunnerStruck = faults.some(
    fault => RUNNER_FAULTS.has(fault.kind) && overlaps(fault, call),
  );
  return !isRunnerStruck && !isEntryStruck(call.entry, call, faults);
}

/** Its process was killed or paused, which is no shutdown. */
function isEntryStruck(
  entry: string,
  span: {startedMs: number; endedMs: number},
  faults: readonly PlayedFault[],
): boolean {
  return faults
    .filter(({kind}) => kind === 'entry-kill' || kind === 'entry-pause')
    .some(fault => fault.entry === entry && overlaps(fault, span));
}

function overlaps(
  {fromMs, toMs}: PlayedFault,
  {startedMs, endedMs}: {startedMs: number; endedMs: number},
): boolean {
  return fromMs <= endedMs && toMs + AFTER_EFFECT_MS >= startedMs;
}

/** Sendings long after the third crash, by entries that nothing disturbed. */
function sentOn({crashing, seen, faults}: SoakRecord): string[] {
  let crashes = 0;
  let knownMs = Number.POSITIVE_INFINITY;
  const late: Call[] = [];
  for (const call of crashing) {
    const runs = runsOf(seen, call.id).length;
    if (runs === 0) continue;
    if (call.startedMs > knownMs && !isDisturbed(call, faults)) {
      for (let i = 0; i < runs; i++) late.push(call);
    }
    crashes += runs;
    if (crashes >= FREE_CRASHES) {
      knownMs = Math.min(knownMs, call.endedMs + AFTER_EFFECT_MS);
    }
  }
  if (late.length <= SENDINGS_AFTER) return [];
  return [late.map(call => describe(call, seen)).join('; ')];
}

/** Entries or the store were struck, at the time or shortly before. */
function isDisturbed(call: Call, faults: readonly PlayedFault[]): boolean {
  return faults
    .filter(({kind}) => STORE_FAULTS.has(kind) || kind.startsWith('entry-'))
    .some(fault => overlaps(fault, call));
}

function sharedTokens(orders: readonly AcceptedOrder[]): string[] {
  const holders = new Map<number, Set<string>>();
  for (const {fencingToken: token, holder} of orders) {
    const known = holders.get(token) ?? new Set();
    holders.set(token, known.add(holder));
  }
  return [...holders]
    .filter(([, names]) => names.size > 1)
    .map(([token, names]) => `${token}: ${[...names].join(', ')}`);
}

function probesGoneBack(probes: readonly ConfigProbe[]): string[] {
  const known = new Set<string>();
  const gone: string[] = [];
  for (const probe of probes) {
    const key = `${probe.entry} ${probe.entryStart} ${probe.route}`;
    if (probe.isKnown) known.add(key);
    else if (known.has(key)) gone.push(key);
  }
  return gone;
}

function isLate(probe: ConfigProbe, {faults}: SoakRecord): boolean {
  if (probe.isKnown || probe.askedMs - probe.addedMs < CONFIG_BOUND_MS) {
    return false;
  }
  const span = {startedMs: probe.addedMs, endedMs: probe.askedMs};
  const isDisturbed = faults
    .filter(({entry}) => entry === undefined || entry === probe.entry)
    .filter(({kind}) => STORE_FAULTS.has(kind) || kind.startsWith('entry-'))
    .some(fault => overlaps(fault, span));
  return !isDisturbed;
}

function describe(call: Call, allSeen: SoakRecord['seen']): string {
  const {id, kind, entry, startedMs, endedMs, seen} = call;
  const {status, isTruncated: isCut} = seen;
  const tookMs = Math.round(endedMs - startedMs);
  const events = parseEvents(seen.text).length;
  const runs = (allSeen.get(id) ?? []).map(
    ({isExecuted: ran, fault}) => fault ?? (ran ? 'ran' : 'turned away'),
  );
  return (
    `${id} ${kind} at ${entry}: status ${status}, ` +
    `${isCut ? 'cut' : 'ended'} after ${tookMs} ms, ${events} events; ` +
    `at runners: ${runs.join(', ') || 'none'}`
  );
}
