import {endLogOutput} from './logger.js';

/** Exits the process with this code after writing the pending log lines. */
export async function exitProcess(code: number): Promise<never> {
  await endLogOutput();
  process.exit(code);
}
