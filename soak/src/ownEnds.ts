import type {Violation} from './soakRecord.js';

/** How a process ended that nobody had asked to end. */
export interface OwnEnd {
  /** Name of its entry. */
  entry: string;
  /** Its exit code, or the signal that ended it. */
  exit: string;
  /** Time in ms, from the monotonic clock. */
  atMs: number;
  /** The last line that it wrote, or the one that names the error. */
  lastLine: string;
}

/**
 * Another process of the machine took the port since it was found free: the
 * entry is started only when the process before it is gone.
 */
const PORT_TAKEN_PATTERN = /can't start: listen EADDRINUSE/;
/** Of a line that a verdict prints. */
const MAX_LINE_CHARS = 400;

/** What the supervisor knows of one entry. */
export interface SupervisedEntry {
  readonly ownEnds: readonly OwnEnd[];
}

/**
 * One line for each process that ended by itself.
 *
 * @example describeOwnEnds(entries)[0] // 'entry-1: exit 1 after "…"'
 */
export function describeOwnEnds(
  entries: readonly SupervisedEntry[],
  sinceMs = 0,
): string[] {
  return entries
    .flatMap(({ownEnds}) => ownEnds)
    .filter(({atMs}) => atMs >= sinceMs)
    .filter(({lastLine}) => !PORT_TAKEN_PATTERN.test(lastLine))
    .map(({entry, exit, lastLine}) => {
      const line = lastLine.slice(0, MAX_LINE_CHARS);
      return `${entry}: exit ${exit} after "${line}"`;
    });
}

/** Judges the processes of a run, whatever it plays. */
export function ownEndViolations(
  entries: readonly SupervisedEntry[],
  sinceMs = 0,
): Violation[] {
  return describeOwnEnds(entries, sinceMs).map(what => ({
    rule: 'no process ends by itself',
    what,
  }));
}
