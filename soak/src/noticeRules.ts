import type {ReceivedRequest} from '@banyanfold/platform/standins';
import type {Call} from './callers.js';
import type {PlayedFault, SoakRecord} from './soakRecord.js';

/** A request that one entry passed on to one runner. */
interface Passed {
  call: Call;
  received: ReceivedRequest;
}

/** A runner that leaves gets no request later than this after it is known. */
const LEAVING_BOUND_MS = 2_000;
/** An entry is in touch again this long after a fault of it or of the store. */
const CONTACT_MS = 3_000;
/** Requests that were under way still arrive in this time. */
const PAUSE_BEGIN_MS = 500;
/** Requests that may arrive in the rest of a pause. */
const IN_PAUSE = 2;
const MS_PER_SECOND = 1000;
/**
 * Faults after which a process is out of touch: it was stopped, or the store was
 * not available to it. A store that only deletes its history stays available.
 */
const CONTACT_KINDS: ReadonlySet<string> = new Set([
  'entry-term',
  'entry-kill',
  'entry-pause',
  'store-link',
  'store-down',
  'store-restore',
]);

/** Requests to runners that had told the same process that they leave. */
export function sentToLeaving(record: SoakRecord): string[] {
  return byRunnerAndProcess(record).flatMap(passed => {
    const told = passed.find(({received, call}) => {
      return received.isLeaving && isWholeAnswer(call, record);
    });
    if (!told) return [];
    const {endedMs} = told.call;
    return passed
      .filter(({call}) => call.startedMs > endedMs + LEAVING_BOUND_MS)
      .filter(({call}) => !isFrozen(call, endedMs, record.faults))
      .map(({call, received}) => {
        const lateMs = Math.round(call.startedMs - endedMs);
        return `${call.id} by ${call.entry} to ${received.runnerId}, ${lateMs} ms late`;
      });
  });
}

/** Requests to runners whose leaving the store has acknowledged long before. */
export function sentAfterLeaving(record: SoakRecord): string[] {
  const {leavings, faults} = record;
  const passed = byRunnerAndProcess(record).flat();
  return leavings.flatMap(({runnerId, atMs}) =>
    passed
      .filter(({received}) => received.runnerId === runnerId)
      .filter(({received}) => received.atMs > atMs + LEAVING_BOUND_MS)
      .filter(({call}) => !isOutOfTouch(call, atMs, faults))
      .map(({call, received}) => {
        const lateMs = Math.round(received.atMs - atMs);
        return `${call.id} by ${call.entry} to ${runnerId}, ${lateMs} ms late`;
      }),
  );
}

/** Pauses in which a process sent the runner more than it may. */
export function sentInPause(record: SoakRecord): string[] {
  return byRunnerAndProcess(record).flatMap(passed =>
    passed.flatMap(({call, received}) => {
      const {atMs, retryAfterS = 0, runnerId} = received;
      const fromMs = atMs + PAUSE_BEGIN_MS;
      const toMs = atMs + retryAfterS * MS_PER_SECOND;
      const inPause = passed.filter(
        other => other.received.atMs > fromMs && other.received.atMs < toMs,
      );
      if (inPause.length <= IN_PAUSE) return [];
      const last = inPause.at(-1)!.call;
      if (isFrozen(last, atMs, record.faults)) return [];
      if (isCutOff(fromMs, toMs, record.faults)) return [];
      return [`${inPause.length} by ${call.entry} to ${runnerId}`];
    }),
  );
}

/** All that one process passed on to one runner, in order of arrival. */
function byRunnerAndProcess({calls, seen}: SoakRecord): Passed[][] {
  const groups = new Map<string, Passed[]>();
  for (const call of calls) {
    for (const received of seen.get(call.id) ?? []) {
      const key = `${received.runnerId} ${call.entry} ${call.entryStart}`;
      const group = groups.get(key) ?? [];
      group.push({call, received});
      groups.set(key, group);
    }
  }
  const inOrder = (a: Passed, b: Passed) => a.received.atMs - b.received.atMs;
  return [...groups.values()].map(group => group.sort(inOrder));
}

/** The caller got the whole answer of the only runner that had the request. */
function isWholeAnswer({id, seen}: Call, record: SoakRecord): boolean {
  const isOnly = record.seen.get(id)?.length === 1;
  return isOnly && seen.status === 200 && !seen.isTruncated;
}

function isFrozen(
  {entry, startedMs}: Call,
  sinceMs: number,
  faults: readonly PlayedFault[],
): boolean {
  return faults
    .filter(({kind}) => kind === 'entry-pause')
    .some(
      fault =>
        fault.entry === entry &&
        fault.fromMs <= startedMs &&
        fault.toMs >= sinceMs,
    );
}

/** The process or its way to the store was disturbed since shortly before. */
function isOutOfTouch(
  {entry, endedMs}: Call,
  sinceMs: number,
  faults: readonly PlayedFault[],
): boolean {
  return faults
    .filter(fault => fault.entry === undefined || fault.entry === entry)
    .filter(({kind}) => CONTACT_KINDS.has(kind))
    .some(
      ({fromMs, toMs}) => fromMs <= endedMs && toMs + CONTACT_MS >= sinceMs,
    );
}

/** The link of any runner was disturbed, so a rejection may arrive late. */
function isCutOff(
  fromMs: number,
  toMs: number,
  faults: readonly PlayedFault[],
): boolean {
  return faults
    .filter(({kind}) => kind === 'runner-link')
    .some(fault => fault.fromMs <= toMs && fault.toMs >= fromMs);
}
