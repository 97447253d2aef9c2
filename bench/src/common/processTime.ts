import {readFileSync} from 'node:fs';

/** Fields of /proc/<pid>/stat, counted after the command's closing bracket. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;
const MS_PER_TICK = 10;
/** Fields of /proc/<pid>/statm: the second is the resident set in pages. */
const RESIDENT_PAGES_FIELD = 1;
const BYTES_PER_PAGE = 4096;

/**
 * Processor time that a process has used so far, user and system, in ms.
 * The kernel counts in ticks of 10 ms.
 */
export function processTimeMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks =
    Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  return ticks * MS_PER_TICK;
}

/** Memory of a process that is resident, in bytes. */
export function residentBytes(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ');
  return Number(fields[RESIDENT_PAGES_FIELD]) * BYTES_PER_PAGE;
}
