import {readFileSync} from 'node:fs';

/** Of the clock in which the kernel gives processor times. */
const MS_PER_TICK = 10;
/** Fields after the name, which may hold spaces, in parentheses. */
const USER_TICKS = 11;
const SYSTEM_TICKS = 12;

/**
 * Processor time that a process has used so far, in milliseconds; undefined where
 * the kernel doesn't tell, or the process is gone.
 *
 * @example processorMsOf(process.pid) // 120
 */
export function processorMsOf(pid: number): number | undefined {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    const ticks = Number(fields[USER_TICKS]) + Number(fields[SYSTEM_TICKS]);
    return ticks * MS_PER_TICK;
  } catch {
    return undefined;
  }
}
