import {sendRequest, parseEvents} from '@banyanfold/platform/standins';
import {CALL_KINDS} from './callers.js';
import {pause} from './pause.js';
import {STREAM_EVENTS, type SoakSystem} from './soakSystem.js';

const POLL_MS = 200;
const DEADLINE_MS = 2_000;

/** What is still not served at some entry when the time is over. */
export async function untilServed(
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
    const seen = await sendRequest({
      port: process.callersPort,
      route: call.route,
      id: `after-${process.name}-${Math.round(endMs)}-${++asked}`,
      headers: {...call.headers, 'deadline-ms': String(DEADLINE_MS)},
      body: 'x',
    });
    const events = parseEvents(seen.text).length;
    const isWhole = !call.isStream || events === STREAM_EVENTS;
    if (seen.status === 200 && isWhole) missing.shift();
    else await pause(POLL_MS);
  }
  return missing.map(({process, kind}) => `${kind} at ${process.name}`);
}
