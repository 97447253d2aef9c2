import {readFileSync} from 'node:fs';

const KB_PER_MB = 1_024;

/**
 * Resident memory of a process; 0 if it is gone.
 *
 * @example memoryMbOf(process.pid) // 96
 */
export function memoryMbOf(pid: number): number {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / KB_PER_MB;
  } catch {
    return 0;
  }
}
